"""Entry point of `python -m marigoldhoist`."""

from marigoldhoist.cli import main

main()
