"""Stand-ins of the users' platform on loopback: its store, its engine hosts, its plain targets."""
