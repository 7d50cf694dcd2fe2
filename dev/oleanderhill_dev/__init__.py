"""Development tools: stand-ins for external systems, the demo, benchmarks, fuzz and mutation tests.

They are not part of the distribution. The stand-ins implement the protocols of the external systems
on loopback addresses and can inject faults for tests.
"""
