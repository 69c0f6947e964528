"""Choose the replica for an attempt at one call."""

from collections.abc import Container, Iterable, Iterator

from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.errors import RefusedError
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.replica_picker import PickRequest
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode


class ReplicaChoice:
    """Chooses replicas by version, reachability and earlier attempts."""

    def __init__(self, progress: CallProgress, context: GatewayContext) -> None:
        self._progress = progress
        self._context = context

    def is_cut_off(self, route: Route) -> bool:
        """Return whether replicas may serve, but only ones out of reach do.

        Those within reach may want no request now, or were tried before.
        """
        usable = self._context.directory.usable(self._progress.service)
        if not any(replica.is_unreachable for replica in usable):
            return False
        eligible = list(self._eligible(usable))
        reachable = [
            replica for replica in eligible if self._reaches(replica, route)
        ]
        now_s = SYSTEM_CLOCK.boottime_s()
        return len(reachable) < len(eligible) and not any(
            replica.has_turn(now_s) and self._may_try(replica, route)
            for replica in reachable
        )

    def choose(self, route: Route) -> Replica:
        """Return a replica that was not tried yet.

        Repeatable calls fall back to a replica that was tried before. Raise
        RefusedError if there is none.
        """
        progress = self._progress
        picked = self._pick(route, progress.tried_hosts)
        if picked is None and route.is_repeatable:
            # A larger answer than allowed would be sent there once more.
            picked = self._pick(
                route, progress.unreachable_hosts | progress.too_large_hosts
            )
        if picked is not None:
            return picked
        usable = len(self._context.directory.usable(progress.service))
        raise RefusedError(
            self._context.admission.refusal(
                ErrorCode.NO_REPLICA,
                f'none of {usable} replicas can take the request',
                progress.time_left_s,
            )
        )

    def _pick(self, route: Route, excluded: Container[str]) -> Replica | None:
        """Pick a replica of the first eligible version that has any left."""
        progress = self._progress
        call = progress.call
        candidates = self._candidates(route)
        versions = self._context.canary.eligible_versions(
            progress.service, call.session
        )
        for version in ('',) if versions is None else versions:
            replicas = [
                replica
                for replica in candidates
                if not version or replica.entry.version == version
            ]
            picked = self._context.picker.pick(
                PickRequest(replicas, excluded, progress.model, call.prompt)
            )
            if picked is not None:
                return picked
        return None

    def _eligible(self, replicas: Iterable[Replica]) -> Iterator[Replica]:
        """Yield the replicas of the versions that may serve."""
        progress = self._progress
        versions = self._context.canary.eligible_versions(
            progress.service, progress.call.session
        )
        for replica in replicas:
            if versions is None or replica.entry.version in versions:
                yield replica

    def _reaches(self, replica: Replica, route: Route) -> bool:
        return self._context.sender.reaches(
            replica, is_repeatable=route.is_repeatable
        )

    def _may_try(self, replica: Replica, route: Route) -> bool:
        is_tried = replica.host in self._progress.tried_hosts
        return route.is_repeatable or not is_tried

    def _candidates(self, route: Route) -> list[Replica]:
        """Return the replicas that want a request, if possible reachable."""
        now_s = SYSTEM_CLOCK.boottime_s()
        willing = [
            replica
            for replica in self._context.directory.usable(
                self._progress.service
            )
            if replica.has_turn(now_s)
        ]
        reachable = [
            replica for replica in willing if self._reaches(replica, route)
        ]
        return reachable or willing
