"""Session choosers of several hosts on one fake log."""

import time
from collections.abc import Iterable, Iterator, MutableSet
from concurrent.futures import Future

from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.work_writer import Appended
from marigoldhoist.components.routing.holds import Holds
from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.chooser import SessionChooser
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.sessions.pins import Pins
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


class EditedVersions(MutableSet[str]):
    """Versions that are withdrawn, and how often each was edited."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._names = set(names)
        self.revision_by_version = dict.fromkeys(VERSIONS, 0)

    def __contains__(self, name: object) -> bool:
        """Tell whether a version is withdrawn."""
        return name in self._names

    def __iter__(self) -> Iterator[str]:
        """Return the withdrawn versions."""
        return iter(tuple(self._names))

    def __len__(self) -> int:
        """Return how many versions are withdrawn."""
        return len(self._names)

    def add(self, name: str) -> None:
        """Withdraw a version."""
        self._names.add(name)
        self.revision_by_version[name] += 1

    def discard(self, name: str) -> None:
        """Bring a version back."""
        self._names.discard(name)
        self.revision_by_version[name] += 1


class FakeTable:
    """A table that tests edit in place."""

    def __init__(self) -> None:
        self.weights = dict.fromkeys(VERSIONS, 10)
        self.edited = EditedVersions()
        self.withdrawn: MutableSet[str] = self.edited
        self.rows: dict[str, AnyRow] = {}

    @property
    def state(self) -> TableState:
        """Return the table in force."""
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
            for version, revision in self.edited.revision_by_version.items()
        }
        return TableState(
            max(revision_by_key.values()),
            {
                key: StoredRow(revision_by_key.get(key, 0), row)
                for key, row in rows.items()
            },
        )

    def put_session(self, session: str, version: str) -> None:
        """Put a session on a version, as an operator does."""
        self.rows[f'session/bench/{session}'] = SessionRow(MODEL, version)


class PinWriter(FakeWriter):
    """Appends kept records at once while the log answers."""

    def keep(self, record: Record) -> Future[Appended]:
        """Append with the fate set and read back; hold it until confirmed."""
        super().keep(record)
        if not self.is_failing:
            self.ship(self.fate)
            self.catch_up()
        return Future()


class FakeGossip:
    """Hands pins straight to the hosts that can be reached."""

    def __init__(self) -> None:
        self.reached: list[Host] = []

    def spread(self, pin: Pin) -> None:
        """Send a pin."""
        for host in self.reached:
            host.pins.learn(pin)

    def ask(self, key: SessionKey) -> tuple[Pin, ...]:
        """Return what the others know."""
        found = (host.pins.find(key) for host in self.reached)
        return tuple(pin for pin in found if pin is not None)


class HostClock:
    """A clock that follows the log's."""

    def __init__(self, log: FakeLog) -> None:
        self._log = log

    def now_ms(self) -> int:
        """Return the log's time."""
        return self._log.now_ms

    def monotonic_s(self) -> float:
        """Return monotonic time."""
        return time.monotonic()


class Host:
    """One daemon's sessions."""

    def __init__(self, name: str, log: FakeLog, table: FakeTable) -> None:
        feed = Feed('work')
        self.table = table
        self.holds = Holds()
        self.writer = PinWriter(log, feed)
        self.gossip = FakeGossip()
        self.pins = Pins(SETTINGS, feed, self.writer, self.gossip)
        feed.add_fold(self.pins.apply)
        tokens = SessionTokens(KEY, SETTINGS.ttl_ms)
        self.chooser = SessionChooser(
            name,
            VersionRules(table, self.holds),
            self.pins,
            tokens,
            HostClock(log),
        )

    def ask(self, request: CallerRequest) -> str:
        """Return the version that the request gets, empty for none."""
        return self.chooser.choose(request).ok() or ''


def request(
    session: str, token: str = '', workspace: str = 'bench'
) -> CallerRequest:
    """Return a model request of a session."""
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
    """Let the hosts reach each other, and no others."""
    for host in hosts:
        host.gossip.reached = [one for one in hosts if one is not host]
