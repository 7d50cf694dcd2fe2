"""The journal of requests that must not be repeated."""
