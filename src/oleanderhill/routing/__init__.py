"""Which whole group or plain target takes a request."""
