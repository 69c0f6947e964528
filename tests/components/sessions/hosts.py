"""Fakes for tests of session choosers of several hosts on one log."""

import time
from collections.abc import Iterable, Iterator, MutableSet
from concurrent.futures import Future

from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.work_writer import AppendedOffset
from marigoldhoist.components.routing.holds import Holds
from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.chooser import SessionChooser
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.sessions.pins import PinStore
from marigoldhoist.components.sessions.settings import SessionSettings
from marigoldhoist.components.sessions.tokens import SessionTokens
from marigoldhoist.components.table.models import (
    AnyRow,
    ModelRow,
    SessionRow,
    StoredRow,
    VersionRow,
    VersionState,
    WorkspaceRow,
)
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.exchange import CallerRequest
from tests.components.log_fakes import FakeLog, FakeWriter

KEY = b'a shared key of 16 bytes or more'
MODEL = 'pult-model'
VERSIONS = ('small', 'medium', 'large')
SETTINGS = SessionSettings(ttl_s=3600, pin_timeout_s=0.0005)


class WithdrawnVersions(MutableSet[str]):
    """The withdrawn versions; counts the edits of each version's row."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._names = set(names)
        self.revision_by_version = dict.fromkeys(VERSIONS, 0)

    def __contains__(self, name: object) -> bool:
        """Return whether a version is withdrawn."""
        return name in self._names

    def __iter__(self) -> Iterator[str]:
        """Iterate over the withdrawn versions."""
        return iter(tuple(self._names))

    def __len__(self) -> int:
        """Return the number of withdrawn versions."""
        return len(self._names)

    def add(self, name: str) -> None:
        """Withdraw a version."""
        self._names.add(name)
        self.revision_by_version[name] += 1

    def discard(self, name: str) -> None:
        """Make a version live again."""
        self._names.discard(name)
        self.revision_by_version[name] += 1


class FakeTable:
    """A configuration table that tests edit in place."""

    def __init__(self) -> None:
        self.weights = dict.fromkeys(VERSIONS, 10)
        self.edits = WithdrawnVersions()
        self.withdrawn: MutableSet[str] = self.edits
        self.rows: dict[str, AnyRow] = {}

    @property
    def state(self) -> TableState:
        """Return the current state of the table."""
        rows: dict[str, AnyRow] = {
            f'model/{MODEL}': ModelRow(self.weights),
            'workspace/bench': WorkspaceRow((), {MODEL: ('*',)}),
            'workspace/other': WorkspaceRow((), {MODEL: ('*',)}),
        }
        for version in VERSIONS:
            is_withdrawn = version in self.withdrawn
            rows[f'version/{MODEL}/{version}'] = VersionRow(
                VersionState.WITHDRAWN if is_withdrawn else VersionState.LIVE
            )
        rows |= self.rows
        revision_by_key = {
            f'version/{MODEL}/{version}': revision
            for version, revision in self.edits.revision_by_version.items()
        }
        return TableState(
            max(revision_by_key.values()),
            {
                key: StoredRow(revision_by_key.get(key, 0), row)
                for key, row in rows.items()
            },
        )

    def put_session(self, session: str, version: str) -> None:
        """Set a session's version with an operator's row."""
        self.rows[f'session/bench/{session}'] = SessionRow(MODEL, version)


class PinWriter(FakeWriter):
    """Writer that appends kept records at once unless the log is failing."""

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Append the kept records with the set outcome and read the log.

        A record stays kept until its append is confirmed.
        """
        super().submit_with_retry(record)
        if not self.is_failing:
            self.append_unconfirmed(self.append_outcome)
            self.catch_up()
        return Future()


class FakeGossip:
    """Pin exchange by direct calls to the reachable hosts."""

    def __init__(self) -> None:
        self.reachable: list[Host] = []

    def publish(self, pin: Pin) -> None:
        """Merge a pin into every reachable host."""
        for host in self.reachable:
            host.pins.merge(pin)

    def query(self, key: SessionKey) -> tuple[Pin, ...]:
        """Return the session's pins of all reachable hosts."""
        pins = (host.pins.find(key) for host in self.reachable)
        return tuple(pin for pin in pins if pin is not None)


class HostClock:
    """Clock whose wall time is the fake log's time."""

    def __init__(self, log: FakeLog) -> None:
        self._log = log

    def now_ms(self) -> int:
        """Return the log's time in milliseconds."""
        return self._log.now_ms

    def monotonic_s(self) -> float:
        """Return the real monotonic time in seconds."""
        return time.monotonic()


class Host:
    """The session chooser of one daemon and the fakes it depends on."""

    def __init__(self, name: str, log: FakeLog, table: FakeTable) -> None:
        feed = Feed('work')
        self.table = table
        self.holds = Holds()
        self.writer = PinWriter(log, feed)
        self.gossip = FakeGossip()
        self.pins = PinStore(SETTINGS, feed, self.writer, self.gossip)
        feed.add_fold(self.pins.apply)
        tokens = SessionTokens(KEY, SETTINGS.ttl_ms)
        self.chooser = SessionChooser(
            name,
            VersionRules(table, self.holds),
            self.pins,
            tokens,
            HostClock(log),
        )

    def choose(self, request: CallerRequest) -> str:
        """Return the version for the request, empty if there is none."""
        return self.chooser.choose(request).ok() or ''


def request(
    session: str, token: str = '', workspace: str = 'bench'
) -> CallerRequest:
    """Return a model request that belongs to a session."""
    return CallerRequest(
        workspace=workspace,
        request_id='r-1',
        target=MODEL,
        body=b'',
        deadline_s=time.monotonic() + 60,
        session=session,
        session_token=token,
    )


def link(*hosts: Host) -> None:
    """Make the hosts reachable for each other, and for no other host."""
    for host in hosts:
        host.gossip.reachable = [peer for peer in hosts if peer is not host]
