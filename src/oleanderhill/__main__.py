"""Run the command line with ``python -m oleanderhill``."""

from .cli import main

main()
