"""Decisions about requests that are forwarded as they are: routes, targets, retries, streams."""
