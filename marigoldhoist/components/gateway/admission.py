"""Decide whether a call may be sent at all, by the configuration in force."""

import dataclasses
import random

from marigoldhoist.components.configuration.models import (
    Configuration,
    Route,
    Workspace,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.const import (
    KEY_AGE_SHARE,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    RETRY_AFTER_SHARE,
)
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.promises import PromiseSettings
from marigoldhoist.core.rendezvous import pick_by_weight


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedCall:
    """The route and the workspace that a call is allowed to use."""

    route: Route
    workspace: Workspace | None
    service: str


class Admission:
    """Admits calls; whatever it cannot know is refused as not run."""

    def __init__(
        self,
        configuration: ConfigurationService,
        promises: PromiseSettings,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._rng = rng
        self._longest_key_age_s = (
            promises.key_withdrawal_ms / MS_PER_S * KEY_AGE_SHARE
        )
        self._longest_refusal_age_s = promises.change_in_force_ms / MS_PER_S * 2

    @property
    def is_fresh(self) -> bool:
        """Tell whether calls with keys may be served."""
        return self._configuration.age_s < self._longest_key_age_s

    def belief(self) -> dict[str, object]:
        """Return the version in force and its age, for the log."""
        current = self._configuration.current
        return {
            'configuration': current.version if current else None,
            'configuration_age_s': round(self._configuration.age_s, 3)
            if current
            else None,
        }

    def admit(self, call: Call) -> AdmittedCall | RequestFailure:
        """Return what the call may use, or why it is refused."""
        current = self._configuration.current
        if current is None:
            return self.refusal(
                ErrorCode.NO_TABLE, 'no configuration is known yet'
            )
        route = current.route(call.authority, call.path)
        if route is None:
            return self._denial(ErrorCode.UNKNOWN_ROUTE, 'no such route')
        if route.is_public:
            return AdmittedCall(route, None, _service_of(route, call))
        return self._with_key(call, route, current)

    def refusal(
        self, code: ErrorCode, message: str, left_s: float | None = None
    ) -> RequestFailure:
        """Return a refusal of a call that has not run."""
        spread_s = RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S
        after_s = RETRY_AFTER_MIN_S + self._rng.random() * spread_s
        if left_s is not None:
            after_s = min(after_s, max(0, left_s) * RETRY_AFTER_SHARE)
        return RequestFailure(code, message, retry_after_s=after_s)

    def _with_key(
        self, call: Call, route: Route, current: Configuration
    ) -> AdmittedCall | RequestFailure:
        # What counts is the age at the request's arrival: a key withdrawn
        # later was good when the caller sent it.
        age_s = self._configuration.age_at_s(call.arrived_s)
        if age_s >= self._longest_key_age_s:
            return self.refusal(
                ErrorCode.STALE_TABLE,
                f'the configuration was confirmed {age_s:.1f} s ago',
            )
        workspace = current.workspace_by_key.get(call.key)
        if workspace is None:
            return self._denial(ErrorCode.UNAUTHORIZED, 'unknown key')
        return AdmittedCall(route, workspace, _service_of(route, call))

    def _denial(self, code: ErrorCode, message: str) -> RequestFailure:
        """Deny a call, but only where the configuration is known well."""
        age_s = self._configuration.age_s
        if age_s > self._longest_refusal_age_s:
            return self.refusal(
                ErrorCode.STALE_TABLE,
                f'the configuration was confirmed {age_s:.1f} s ago',
            )
        return RequestFailure(code, message)


def _service_of(route: Route, call: Call) -> str:
    """Return the service that a call goes to, by the route's weights."""
    weights = {
        service: weight
        for service, weight in route.weight_by_service.items()
        if weight > 0
    }
    if len(weights) < 2:
        return next(iter(weights or route.weight_by_service))
    return pick_by_weight(weights, call.session or call.request_id)
