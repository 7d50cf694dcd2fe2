"""Membership of entry hosts and messaging between them."""
