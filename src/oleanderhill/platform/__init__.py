"""Adapter between the users' platform and oleanderhill.

No other package uses the platform's names.

Each module covers one external interface: process settings, the operators' configuration, the list
of target hosts, the store, orders to engine hosts, and headers of requests and replies. Data on the
wire is decoded into typed values here and nowhere else.
"""
