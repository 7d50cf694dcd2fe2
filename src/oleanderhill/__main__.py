"""Run the command line with ``python -m oleanderhill``."""

from .operators.cli import main

main()
