"""The operator interface: command line, HTTP server, text reports and log explanations."""
