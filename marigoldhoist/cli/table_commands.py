"""Commands that show and change the table."""

import datetime
import getpass
import sys
from typing import Any

from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.const import (
    EXIT_BY_OUTCOME,
    EXIT_UNKNOWN,
    MS_PER_S,
    NO_REVISION,
)
from marigoldhoist.cli.errors import CommandError
from marigoldhoist.cli.fleet_commands import wait_in_force
from marigoldhoist.cli.tables import print_columns, print_json

Edit = dict[str, Any]


class TableCommands:
    """Show or change the table."""

    def show(self, json: bool = False) -> None:
        """Print the table in force."""
        table = OperatorClient().get('/table')
        if json:
            print_json(table)
            return
        print(f'revision {table["revision"]}')
        print_columns(
            ('key', 'revision', 'row'),
            (
                (stored['key'], stored['revision'], stored['row'])
                for stored in table['rows']
            ),
        )

    def set(
        self, key: str, row: Any, note: str = '', json: bool = False
    ) -> None:
        """Write a row, given as a JSON object; null deletes the row."""
        if row is not None and not isinstance(row, dict):
            raise CommandError(f'row must be a JSON object, not {row!r}')
        client = OperatorClient()
        stored = _find_row(client, key)
        edit = _row_edit(key, row, stored)
        sys.exit(_submit(client, [edit], note, json))

    def withdraw(
        self, model: str, version: str, note: str = '', json: bool = False
    ) -> None:
        """Withdraw a version and wait until every daemon applies the change."""
        client = OperatorClient()
        key = f'version/{model}/{version}'
        stored = _find_row(client, key)
        if stored is None:
            raise CommandError(f'no row {key}')
        edit = _row_edit(key, stored['row'] | {'state': 'withdrawn'}, stored)
        sys.exit(_submit(client, [edit], note, json))

    def history(self, key: str = '', json: bool = False) -> None:
        """Show the changes to one row, or to all rows."""
        changes = [
            entry
            for entry in OperatorClient().get('/audit')
            if not key or key in entry['keys']
        ]
        if json:
            print_json(changes)
        else:
            print_audit(changes)


def print_audit(entries: list[dict[str, Any]]) -> None:
    """Print one line for each change."""
    print_columns(
        ('offset', 'time', 'author', 'outcome', 'rows', 'reason'),
        (
            (
                entry['offset'],
                _format_time(entry['time_ms']),
                entry['author'],
                entry['outcome'],
                ' '.join(entry['keys']),
                entry['reason'],
            )
            for entry in entries
        ),
    )


def _format_time(time_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    return moment.isoformat(timespec='seconds')


def _find_row(client: OperatorClient, key: str) -> dict[str, Any] | None:
    for stored in client.get('/table')['rows']:
        if stored['key'] == key:
            return dict(stored)
    return None


def _row_edit(key: str, row: Any, stored: dict[str, Any] | None) -> Edit:
    revision = stored['revision'] if stored else NO_REVISION
    return {'key': key, 'content': row, 'base_revision': revision}


def _submit(
    client: OperatorClient, edits: list[Edit], note: str, as_json: bool
) -> int:
    """Submit a change, print its outcome and return the exit code."""
    change = {'author': getpass.getuser(), 'edits': edits, 'note': note}
    answer = client.post('/table', change)
    if answer['outcome'] == 'accepted':
        answer['not_in_force_at'] = wait_in_force(client, answer['offset'])
    if as_json:
        print_json(answer)
    else:
        _print_outcome(answer)
    return EXIT_BY_OUTCOME.get(answer['outcome'], EXIT_UNKNOWN)


def _print_outcome(answer: dict[str, Any]) -> None:
    outcome = answer['outcome']
    if outcome != 'accepted':
        winner = answer['winner']
        winner_text = '' if winner is None else f' (winner: offset {winner})'
        print(f'{outcome}: {answer["reason"]}{winner_text}')
        return
    print(f'accepted at offset {answer["offset"]}')
    if answer['not_in_force_at']:
        hosts = ', '.join(answer['not_in_force_at'])
        print(f'not known to be in force at: {hosts}')
    else:
        print('in force at every daemon')
