"""Limits of client accounts, shared among entry hosts."""
