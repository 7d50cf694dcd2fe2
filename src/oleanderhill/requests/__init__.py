"""Handling of one request, from the caller's connection to its final answer."""
