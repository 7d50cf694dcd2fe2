"""What operators use: the command line, its server, reports, explanations."""
