"""The journal that gives non-idempotent requests at-most-once execution."""
