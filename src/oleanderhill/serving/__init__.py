"""Handling of requests that are forwarded unchanged: routes, targets, retries and streams."""
