"""Run the command line."""

from marigoldhoist.cli import main

main()
