"""Hold the configuration in force and know how long ago it was confirmed."""

import math

from marigoldhoist.components.configuration.events import (
    CONFIGURATION_ADOPTED,
    OLDER_CONFIGURATION_PASSED_OVER,
)
from marigoldhoist.components.configuration.models import (
    CallerLimits,
    Configuration,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService

DEFAULT_LIMITS = CallerLimits()


class ConfigurationService(BaseService):
    """The newest version known; it never goes back.

    The age is counted from the moment at which the read that confirmed the
    version was sent, on a clock that also counts suspensions: whatever was
    accepted before that moment is in force here.
    """

    def __init__(self, clock: SystemClock = SYSTEM_CLOCK) -> None:
        self._clock = clock
        self._confirmed_s = -math.inf
        self.current: Configuration | None = None

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.current.limits if self.current else DEFAULT_LIMITS

    @property
    def age_s(self) -> float:
        """Return the seconds since the configuration was known to be newest."""
        return self._clock.boottime_s() - self._confirmed_s

    def age_at_s(self, moment_s: float) -> float:
        """Return how old the confirmation was at a boot time."""
        return moment_s - self._confirmed_s

    def adopt(self, configuration: Configuration) -> None:
        """Put a version in force if it is newer."""
        known = self.current
        if known is not None and configuration.version <= known.version:
            if configuration.version < known.version:
                emit(
                    OLDER_CONFIGURATION_PASSED_OVER,
                    version=configuration.version,
                    in_force=known.version,
                )
            return
        self.current = configuration
        emit(
            CONFIGURATION_ADOPTED,
            version=configuration.version,
            before=known.version if known else None,
            keys=len(configuration.workspace_by_key),
            routes=sum(map(len, configuration.routes_by_authority.values())),
        )

    def confirm(self, sent_s: float) -> None:
        """Note that nothing newer was accepted before that boot time."""
        self._confirmed_s = max(self._confirmed_s, sent_s)
