"""Tests of the category that an attempt counts for."""

import pytest

from marigoldhoist.components.dispatch.stages import Attempt
from marigoldhoist.components.health.stage import HealthStage
from marigoldhoist.components.quality.cells import CellKey
from marigoldhoist.components.quality.const import FAILED, SUCCEEDED
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict

SERVING = 'model/small'
REQUEST = CallerRequest(
    'bench', 'one', 'model', b'', deadline_s=0, is_streamed=True
)


class RecordingQuality(QualityService):
    """Records the noted categories."""

    def __init__(self) -> None:
        self.noted: list[int] = []

    def note(self, _key: CellKey, category: int) -> None:
        """Record a category."""
        self.noted.append(category)


class NoUpstreams(UpstreamService):
    """Has no replicas."""

    def __init__(self) -> None:
        """Create upstreams without a registry."""

    def replicas_serving(self, _name: str) -> tuple[()]:
        """Return no replica."""
        return ()


def attempt(verdict: Verdict = Verdict.RAN, **fields: object) -> Attempt:
    """Return an attempt at one replica."""
    return Attempt(SERVING, 'engine-1', verdict, **fields)  # type: ignore[arg-type]


class TestHealthStage:
    """Cut and empty answers are failures, abandoned attempts are not."""

    @pytest.mark.parametrize(
        ('tried', 'noted'),
        [
            (attempt(status=200, tokens=5, is_whole=True), [SUCCEEDED]),
            (attempt(status=200, tokens=5), [FAILED]),
            (attempt(status=200, is_whole=True), [FAILED]),
            (attempt(status=400, is_whole=True), [SUCCEEDED]),
            (attempt(status=200, tokens=5, is_abandoned=True), [SUCCEEDED]),
            (attempt(Verdict.MAY_HAVE_RUN), [FAILED]),
            (attempt(Verdict.NOT_RUN), []),
        ],
    )
    def test_category(self, tried: Attempt, noted: list[int]) -> None:
        quality = RecordingQuality()
        HealthStage(quality, NoUpstreams()).on_attempt(REQUEST, tried)
        assert quality.noted == noted
