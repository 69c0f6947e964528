"""Hold the configuration in force and track its staleness."""

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
    """Holds the newest known version, which is never replaced by an older one.

    The age is measured from when the read that confirmed the version was sent,
    so every change accepted before that time is in force here. The boot time
    clock is used because it also runs while the machine is suspended.
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
        """Return the seconds since the version was confirmed as the newest."""
        return self._clock.boottime_s() - self._confirmed_s

    def age_at_s(self, boottime_s: float) -> float:
        """Return the age in seconds at a boot time in seconds."""
        return boottime_s - self._confirmed_s

    def adopt(self, configuration: Configuration, source: str = '') -> None:
        """Put a version in force if it is newer than the current one.

        `source` is the name of the source that it was read from.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            if configuration.version < current.version:
                emit(
                    OLDER_CONFIGURATION_PASSED_OVER,
                    version=configuration.version,
                    in_force=current.version,
                )
            return
        self.current = configuration
        emit(
            CONFIGURATION_ADOPTED,
            version=configuration.version,
            before=current.version if current else None,
            before_age_s=round(self.age_s, 3) if current else None,
            source=source,
            keys=len(configuration.workspace_by_key),
            routes=sum(map(len, configuration.routes_by_authority.values())),
        )

    def confirm(self, sent_s: float) -> None:
        """Record that no newer version was accepted before a boot time."""
        self._confirmed_s = max(self._confirmed_s, sent_s)
