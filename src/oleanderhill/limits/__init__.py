"""Rate limits of client accounts, shared among entry hosts."""
