"""Owners of fabric domains: plans, repairs and orders of the own interface."""
