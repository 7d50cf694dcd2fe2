"""Development tools: stand-ins for outside systems, the demo, benchmarks and the proofs.

Nothing in here is shipped. The stand-ins speak the outside systems' protocols over loopback and
have faults that a test can switch on.
"""
