"""The command that reports bills."""

from typing import Any

from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.tables import print_json


def show_bills(as_json: bool) -> None:
    """Fetch and print the totals of the bills that the log retains."""
    report = OperatorClient().get('/bills')
    if as_json:
        print_json(report)
        return
    print_totals(report)


def print_totals(report: dict[str, Any]) -> None:
    """Print one line for each workspace and version or plain service."""
    print(f'offsets {report["first_offset"]} to {report["next_offset"]}')
    print(f'duplicate bills ignored: {report["second_copies"]}')
    print(f'{"workspace":20} {"serving":32} bills   cut   tokens       cost')
    for total in report['totals']:
        print(
            f'{total["workspace"]:20} {total["serving"]:32}'
            f' {total["bills"]:5} {total["cut"]:5} {total["tokens"]:8}'
            f' {total["cost"]:10.4f}'
        )
