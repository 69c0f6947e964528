"""Choose the version of a request that names a session."""

from typing import Final

from result import Err, Ok, Result

from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.choice import (
    first_version,
    operators_version,
    successor,
)
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.sessions.pins import Pins
from marigoldhoist.components.sessions.tokens import SessionTokens
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest

MAX_MOVES: Final = 3


class SessionChooser:
    """Follows the operator's row, then the pin, then a first choice."""

    def __init__(
        self,
        host: str,
        rules: VersionRules,
        pins: Pins,
        tokens: SessionTokens,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self._host = host
        self._rules = rules
        self._pins = pins
        self._tokens = tokens
        self._clock = clock

    def choose(self, request: CallerRequest) -> Result[str, RequestFailure]:
        """Return the version of the request's session."""
        key = _key_of(request)
        named = operators_version(self._rules, key)
        if named:
            return Ok(named)
        pin = self._known(key, request) or self._first(key)
        for _ in range(MAX_MOVES):
            if pin is None or self._stands(pin):
                break
            pin = self._move(pin)
        if pin is None or not self._is_usable(pin):
            return Err(
                RequestFailure(
                    ErrorCode.NO_VERSION,
                    f'no version of {key.model} takes work',
                )
            )
        self._pins.uphold(pin)
        return Ok(pin.version)

    def token_of(self, request: CallerRequest) -> str:
        """Return the token of the request's session, empty for none."""
        if not request.session:
            return ''
        pin = self._pins.find(_key_of(request))
        return self._tokens.issue(pin) if pin else ''

    def _known(self, key: SessionKey, request: CallerRequest) -> Pin | None:
        pin = self._pins.find(key)
        if pin is not None:
            return pin
        carried = self._tokens.read(
            request.session_token, key, self._clock.now_ms()
        )
        if carried is not None:
            return self._pins.propose(carried)
        return None

    def _is_usable(self, pin: Pin) -> bool:
        return self._rules.is_usable(pin.workspace, pin.model, pin.version)

    def _stands(self, pin: Pin) -> bool:
        """Tell whether a pin may be used without asking the log again.

        A version whose row was edited since may have been unusable in
        between, and another host may have moved the session then.
        """
        revision = self._rules.row_revision(pin.model, pin.version)
        is_current = pin.row_revision is None or revision <= pin.row_revision
        return is_current and self._is_usable(pin)

    def _first(self, key: SessionKey) -> Pin | None:
        version = first_version(self._rules, key)
        if not version:
            return None
        return self._pins.propose(self._new_pin(key, version))

    def _move(self, pin: Pin) -> Pin | None:
        """Propose the pin that follows, on the same version if usable.

        The log keeps the first pin that follows, so that a move made
        elsewhere wins over one that renews the version.
        """
        version = pin.version
        if not self._is_usable(pin):
            version = successor(self._rules, pin)
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
