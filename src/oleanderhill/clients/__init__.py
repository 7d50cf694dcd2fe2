"""Clients for external systems: HTTP, the store and target hosts."""
