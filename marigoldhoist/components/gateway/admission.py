"""Admission control of calls by the current configuration."""

import dataclasses
import random

from marigoldhoist.components.configuration.models import (
    Configuration,
    Route,
    Workspace,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.const import (
    MAX_KEY_AGE_SHARE,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    RETRY_AFTER_SHARE,
)
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.objectives import ObjectiveSettings
from marigoldhoist.core.rendezvous import pick_by_weight


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedCall:
    """The route, workspace and service of an admitted call.

    The workspace is None on public routes.
    """

    route: Route
    workspace: Workspace | None
    service: str


class Admission:
    """Admits, denies or refuses calls.

    A daemon without a fresh configuration refuses calls with a retryable
    error instead of denying them.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        objectives: ObjectiveSettings,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._rng = rng
        self._max_key_age_s = (
            objectives.key_withdrawal_ms / MS_PER_S * MAX_KEY_AGE_SHARE
        )
        self._max_denial_age_s = objectives.change_in_force_ms / MS_PER_S * 2

    @property
    def is_fresh(self) -> bool:
        """Return whether the configuration is fresh enough for API keys."""
        return self._configuration.age_s < self._max_key_age_s

    def configuration_fields(self) -> dict[str, object]:
        """Return log fields with the configuration's version and age."""
        current = self._configuration.current
        return {
            'configuration': current.version if current else None,
            'configuration_age_s': round(self._configuration.age_s, 3)
            if current
            else None,
        }

    def admit(self, call: Call) -> AdmittedCall | RequestFailure:
        """Return the admitted call, or why it is denied or refused."""
        current = self._configuration.current
        if current is None:
            return self.refusal(
                ErrorCode.NO_TABLE, 'no configuration is known yet'
            )
        route = current.route(call.authority, call.path)
        if route is None:
            return self._deny(ErrorCode.UNKNOWN_ROUTE, 'no such route')
        if route.is_public:
            return AdmittedCall(route, None, _pick_service(route, call))
        return self._admit_with_key(call, route, current)

    def refusal(
        self,
        code: ErrorCode,
        message: str,
        time_left_s: float | None = None,
        min_after_s: float = 0,
    ) -> RequestFailure:
        """Return a retryable failure of a call that was not run.

        The retry delay is random, so that refused callers do not return all
        at once, after `min_after_s`, and at most `RETRY_AFTER_SHARE` of the
        time left.
        """
        spread_s = RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S
        after_s = RETRY_AFTER_MIN_S + self._rng.random() * spread_s
        after_s += min_after_s
        if time_left_s is not None:
            after_s = min(after_s, max(0, time_left_s) * RETRY_AFTER_SHARE)
        return RequestFailure(code, message, retry_after_s=after_s)

    def _admit_with_key(
        self, call: Call, route: Route, current: Configuration
    ) -> AdmittedCall | RequestFailure:
        # The age is measured at the request's arrival: a key that was withdrawn
        # later was still valid when the caller sent the request.
        age_s = self._configuration.age_at_s(call.arrived_s)
        if age_s >= self._max_key_age_s:
            return self.refusal(
                ErrorCode.STALE_TABLE,
                f'the configuration was confirmed {age_s:.1f} s ago',
            )
        workspace = current.workspace_by_key.get(call.key)
        if workspace is None:
            return self._deny(ErrorCode.UNAUTHORIZED, 'unknown key')
        return AdmittedCall(route, workspace, _pick_service(route, call))

    def _deny(self, code: ErrorCode, message: str) -> RequestFailure:
        """Deny a call, or refuse it if the configuration is stale."""
        age_s = self._configuration.age_s
        if age_s > self._max_denial_age_s:
            return self.refusal(
                ErrorCode.STALE_TABLE,
                f'the configuration was confirmed {age_s:.1f} s ago',
            )
        return RequestFailure(code, message)


def _pick_service(route: Route, call: Call) -> str:
    """Pick a service by weight, the same one for all calls of a session."""
    weights = {
        service: weight
        for service, weight in route.weight_by_service.items()
        if weight > 0
    }
    if len(weights) < 2:
        return next(iter(weights or route.weight_by_service))
    return pick_by_weight(weights, call.session or call.request_id)
