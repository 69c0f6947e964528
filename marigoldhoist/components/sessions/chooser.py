"""Choose the model version for a request that belongs to a session."""

from typing import Final

from result import Err, Ok, Result

from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.sessions.pins import PinStore
from marigoldhoist.components.sessions.selection import (
    initial_version,
    operator_version,
    successor_version,
)
from marigoldhoist.components.sessions.tokens import SessionTokens
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest

# Maximum number of times that one request replaces its session's pin.
MAX_MOVES_PER_REQUEST: Final = 3


class SessionChooser:
    """Choose versions for sessions.

    A usable version in the operator's session row has precedence over the
    session's pin. A session with neither is pinned to a new version.
    """

    def __init__(
        self,
        host: str,
        rules: VersionRules,
        pins: PinStore,
        tokens: SessionTokens,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self._host = host
        self._rules = rules
        self._pins = pins
        self._tokens = tokens
        self._clock = clock

    def choose(self, request: CallerRequest) -> Result[str, RequestFailure]:
        """Return the version of the request's session.

        Creates or replaces the session's pin where needed, which may block
        until the pin is agreed on.
        """
        key = _key_of(request)
        assigned = operator_version(self._rules, key)
        if assigned:
            return Ok(assigned)
        pin = self._find_pin(key, request) or self._create_pin(key)
        for _ in range(MAX_MOVES_PER_REQUEST):
            if pin is None or self._is_current(pin):
                break
            pin = self._move(pin)
        if pin is None or not self._is_usable(pin):
            return Err(
                RequestFailure(
                    ErrorCode.NO_VERSION,
                    f'no version of {key.model} takes work',
                )
            )
        self._pins.ensure_logged(pin)
        return Ok(pin.version)

    def token_of(self, request: CallerRequest) -> str:
        """Return a signed token with the session's pin, empty if unpinned."""
        if not request.session:
            return ''
        pin = self._pins.find(_key_of(request))
        return self._tokens.issue(pin) if pin else ''

    def _find_pin(self, key: SessionKey, request: CallerRequest) -> Pin | None:
        pin = self._pins.find(key)
        if pin is not None:
            return pin
        token_pin = self._tokens.read(
            request.session_token, key, self._clock.now_ms()
        )
        if token_pin is not None:
            return self._pins.propose(token_pin)
        return None

    def _is_usable(self, pin: Pin) -> bool:
        return self._rules.is_usable(pin.workspace, pin.model, pin.version)

    def _is_current(self, pin: Pin) -> bool:
        """Return whether a pin may be used without proposing a new one.

        If the row of the pin's version was edited after the pin was made,
        the version may have been unusable in between, and another host may
        have moved the session in that time.
        """
        revision = self._rules.row_revision(pin.model, pin.version)
        is_row_unchanged = (
            pin.row_revision is None or revision <= pin.row_revision
        )
        return is_row_unchanged and self._is_usable(pin)

    def _create_pin(self, key: SessionKey) -> Pin | None:
        version = initial_version(self._rules, key)
        if not version:
            return None
        return self._pins.propose(self._new_pin(key, version))

    def _move(self, pin: Pin) -> Pin | None:
        """Propose the pin of the next generation.

        It names the same version if that is usable, else its successor.
        The fold accepts only the first pin of a generation, so a move that
        another host logged earlier wins over one to the same version.
        """
        version = pin.version
        if not self._is_usable(pin):
            version = successor_version(self._rules, pin)
        if not version:
            return None
        return self._pins.propose(self._new_pin(pin.key, version, pin))

    def _new_pin(
        self, key: SessionKey, version: str, replaced: Pin | None = None
    ) -> Pin:
        return Pin(
            workspace=key.workspace,
            model=key.model,
            session=key.session,
            version=version,
            generation=replaced.generation + 1 if replaced else 0,
            proposed_ms=self._clock.now_ms(),
            host=self._host,
            replaces=replaced.version if replaced else '',
            row_revision=self._rules.row_revision(key.model, version),
        )


def _key_of(request: CallerRequest) -> SessionKey:
    return SessionKey(request.workspace, request.target, request.session)
