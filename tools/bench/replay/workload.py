"""Workloads of the policy benchmark, read from JSON5 files."""

import pathlib
from typing import Annotated

import json5
import msgspec

from marigoldhoist.core.errors import SettingsError

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
WORKLOAD_FOLDER = pathlib.Path(__file__).parent.parent / 'workloads'


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the parts of a workload."""


class VersionPart(Part, frozen=True):
    """A version, its cost per 1,000 tokens, quality, speed and replicas.

    The quality is the probability of a good answer to an easy and to a hard
    request.
    """

    name: str
    cost: Positive
    good_if_easy: Share
    good_if_hard: Share
    first_token_ms: Positive
    token_ms: Positive
    replicas: Count


class TaskPart(Part, frozen=True):
    """A task, its share of the requests and the share of easy ones in it."""

    name: str
    share: Share
    easy: Share


class RatingPart(Part, frozen=True):
    """The share of rated answers, their delay and the rate of wrong ratings."""

    share: Share = 0.05
    mean_delay_s: Positive = 60
    flipped: Share = 0.1


class DoubtPart(Part, frozen=True):
    """Beta distributions of the doubt scores of good and bad answers."""

    good: tuple[Positive, Positive] = (2, 5)
    bad: tuple[Positive, Positive] = (4, 3)


class Workload(Part, frozen=True):
    """A deployment and its requests.

    The weights are those of the round robin policy. They define the
    capacity: the request rate at which the busiest version has full batches.
    A request rate of zero selects a share of the capacity. `replayed_daemons`
    of the daemons are replayed; the others are background load.

    A replica slows down with more than `batch_full` requests and queues those
    beyond `batch_limit`.
    """

    name: str
    versions: tuple[VersionPart, ...]
    tasks: tuple[TaskPart, ...]
    weights: dict[str, Positive]
    bad_version: str
    quality_target: Share
    first_token_s: Positive
    failure_domains: Count = 3
    workspaces: Count = 10
    zipf: Positive = 1.2
    mean_tokens: Positive = 150
    sigma_tokens: Positive = 0.6
    batch_full: Count = 8
    batch_limit: Count = 16
    report_age_s: Positive = 1
    stale_report_age_s: Positive = 5
    daemons: Count = 9
    replayed_daemons: Count = 9
    requests_per_s: float = 0
    quick_first_token_s: Positive = 1
    ratings: RatingPart = RatingPart()
    doubt: DoubtPart = DoubtPart()

    def version(self, name: str) -> VersionPart:
        """Return the version with the given name."""
        return next(part for part in self.versions if part.name == name)

    @property
    def capacity_per_s(self) -> float:
        """Return the requests/s at which the busiest version is full."""
        total = sum(self.weights.values())
        return min(
            self._rate_per_s(self.version(name)) * total / weight
            for name, weight in self.weights.items()
        )

    @property
    def replayed_share(self) -> float:
        """Return the share of the requests sent by replayed daemons."""
        return self.replayed_daemons / self.daemons

    def _rate_per_s(self, version: VersionPart) -> float:
        tokens_per_s = version.replicas * self.batch_full * 1000
        return tokens_per_s / version.token_ms / self.mean_tokens


def load_workload(path: pathlib.Path) -> Workload:
    """Read a workload from a file.

    Raise SettingsError if the file is unreadable or invalid.
    """
    try:
        document = json5.loads(path.read_text(encoding='utf-8'))
        workload = msgspec.convert(document, Workload)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsError(f'{path}: {error}') from error
    names = {version.name for version in workload.versions}
    unknown = {*workload.weights, workload.bad_version} - names
    if unknown:
        raise SettingsError(f'{path}: unknown version {min(unknown)!r}')
    return workload
