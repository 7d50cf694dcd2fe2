"""Stand-ins for the users' platform on loopback: its store, engine hosts and plain targets."""
