"""Generate the request stream of a workload."""

import dataclasses
import itertools
import math
import random
from collections.abc import Iterator

from marigoldhoist.components.routing.cascades import CascadeRequest, Goal
from tools.bench.replay.workload import Workload


@dataclasses.dataclass(slots=True, eq=False)
class ReplayRequest:
    """A request and its arrival time in seconds.

    `is_easy` and `tokens`, the length of its answer, are hidden from the
    policies.
    """

    time_s: float
    cascade_request: CascadeRequest
    is_easy: bool
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Excess requests of one workspace from a start time on."""

    workspace: str
    requests_per_s: float
    start_s: float


def make_stream(
    workload: Workload,
    requests_per_s: float,
    count: int,
    seed: int,
    flood: Flood | None = None,
) -> list[ReplayRequest]:
    """Return requests in the order of their arrival times.

    `count` excludes those of the flood, which ends with the other requests.
    """
    rng = random.Random(seed)
    source = RequestSource(workload, rng)
    regular = source.requests(requests_per_s)
    requests = list(itertools.islice(regular, count))
    if flood is None:
        return requests
    end_s = requests[-1].time_s
    excess = itertools.takewhile(
        lambda request: request.time_s < end_s,
        source.requests(flood.requests_per_s, flood.start_s, flood.workspace),
    )
    requests.extend(excess)
    return sorted(requests, key=lambda request: request.time_s)


class RequestSource:
    """Draws the requests of one workload.

    Workspaces have Zipf shares, answer lengths are log-normal.
    """

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._rng = rng
        self._goal = Goal(workload.quality_target, workload.first_token_s)
        self._names = [f'ws-{rank + 1}' for rank in range(workload.workspaces)]
        self._weights = [
            (rank + 1) ** -workload.zipf for rank in range(workload.workspaces)
        ]
        self._task_shares = [task.share for task in workload.tasks]
        self._log_tokens = (
            math.log(workload.mean_tokens) - workload.sigma_tokens**2 / 2
        )

    def requests(
        self, requests_per_s: float, start_s: float = 0, workspace: str = ''
    ) -> Iterator[ReplayRequest]:
        """Yield an endless Poisson stream of requests.

        The workspaces are drawn unless one is given.
        """
        rng = self._rng
        now_s = start_s
        for number in itertools.count():
            now_s += rng.expovariate(requests_per_s)
            name = workspace or rng.choices(self._names, self._weights)[0]
            task = rng.choices(self._workload.tasks, self._task_shares)[0]
            cascade_request = CascadeRequest(
                name, task.name, f'{name}-{number}', self._goal
            )
            sigma = self._workload.sigma_tokens
            tokens = max(1, round(rng.lognormvariate(self._log_tokens, sigma)))
            yield ReplayRequest(
                now_s, cascade_request, rng.random() < task.easy, tokens
            )
