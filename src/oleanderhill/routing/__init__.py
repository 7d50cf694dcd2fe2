"""Selects a complete group or a plain target for each request."""
