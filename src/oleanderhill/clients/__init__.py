"""Clients of what lies outside: HTTP, the store, target hosts."""
