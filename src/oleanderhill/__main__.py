"""Runs the command line as ``python -m oleanderhill``."""

from .operators.cli import main

main()
