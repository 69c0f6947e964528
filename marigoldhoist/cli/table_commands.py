"""Commands on the table."""

import getpass
import json
import sys
from typing import Any

from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.const import EXIT_BY_OUTCOME, EXIT_UNKNOWN
from marigoldhoist.cli.errors import CommandError

NO_REVISION = -1


class TableCommands:
    """Show and change the table."""

    def show(self, json: bool = False) -> None:
        """Print the table in force."""
        print_table(OperatorClient().get('/table'), json)

    def set(self, key: str, row: Any, note: str = '') -> None:
        """Write one row, given as JSON."""
        client = OperatorClient()
        edit = {
            'key': key,
            'content': row,
            'base_revision': revision_of(client, key),
        }
        submit(client, [edit], note)

    def withdraw(self, model: str, version: str, note: str = '') -> None:
        """Withdraw a version, so that it gets no new work."""
        client = OperatorClient()
        key = f'version/{model}/{version}'
        stored = find_row(client, key)
        if stored is None:
            raise CommandError(f'no row {key}')
        edit = {
            'key': key,
            'content': stored['row'] | {'state': 'withdrawn'},
            'base_revision': stored['revision'],
        }
        submit(client, [edit], note)


def find_row(client: OperatorClient, key: str) -> dict[str, Any] | None:
    """Return a row of the table as the daemon shows it."""
    for shown in client.get('/table')['rows']:
        if shown['key'] == key:
            return dict(shown)
    return None


def revision_of(client: OperatorClient, key: str) -> int:
    """Return the revision of a row, or that of no row."""
    stored = find_row(client, key)
    return stored['revision'] if stored else NO_REVISION


def submit(
    client: OperatorClient, edits: list[dict[str, Any]], note: str
) -> None:
    """Send a change; the exit code tells what became of it."""
    change = {'author': getpass.getuser(), 'edits': edits, 'note': note}
    answer = client.post('/table', change)
    outcome = answer['outcome']
    print(json.dumps(answer))
    sys.exit(EXIT_BY_OUTCOME.get(outcome, EXIT_UNKNOWN))


def print_table(table: dict[str, Any], as_json: bool) -> None:
    """Print the table as JSON, or a line for each row."""
    if as_json:
        print(json.dumps(table))
        return
    print(f'revision {table["revision"]}')
    for shown in table['rows']:
        print(f'{shown["key"]:40} {shown["revision"]:8} {shown["row"]}')
