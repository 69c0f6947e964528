"""Test the non-blocking log sink and the rate limit of log lines."""

import os

import structlog

from marigoldhoist.components.gateway.request_log import (
    RequestLog,
    RequestLogLimiter,
)
from marigoldhoist.core.kernel import TASK_FAILED
from marigoldhoist.core.line_sink import (
    MAX_LINE_BYTES,
    LineRateLimiter,
    LineSink,
)

LINE = f'{"x" * 200}\n'


class TestLineSink:
    """A full or closed pipe must not block or fail the writer."""

    def test_full_pipe_drops_and_counts_lines(self) -> None:
        read_end, write_end = os.pipe()
        sink = LineSink(write_end)
        for _ in range(2000):
            sink.write(LINE)
        assert sink.dropped > 1000
        received = os.read(read_end, 1 << 20)
        assert set(received.split(b'\n')) == {LINE.rstrip().encode(), b''}
        os.close(read_end)
        os.close(write_end)

    def test_closed_pipe_drops_lines(self) -> None:
        read_end, write_end = os.pipe()
        os.close(read_end)
        sink = LineSink(write_end)
        sink.write('line\n')
        assert sink.dropped == 1
        os.close(write_end)

    def test_long_line_is_truncated(self) -> None:
        read_end, write_end = os.pipe()
        LineSink(write_end).write(f'{"y" * 10_000}\n')
        received = os.read(read_end, 1 << 20)
        assert len(received) == MAX_LINE_BYTES
        assert received.endswith(b'\n')
        os.close(read_end)
        os.close(write_end)


class TestLineRateLimiter:
    """The token bucket of log lines."""

    def test_burst_then_rate(self) -> None:
        limiter = LineRateLimiter(lines_per_s=10, burst=5)
        assert sum(limiter.try_take(1) for _ in range(20)) == 5
        assert sum(limiter.try_take(1.5) for _ in range(20)) == 5


class TestRequestLog:
    """Lines about requests while the rate limit is exceeded."""

    def test_failed_request_logs_all_lines(self) -> None:
        written = self._written(is_failed=True)
        assert [line['step'] for line in written] == [1, 2, 3]
        assert all(line['is_held_back'] for line in written)

    def test_served_request_drops_and_counts_lines(self) -> None:
        assert not self._written(is_failed=False)
        assert self._logs.dropped == 3

    def _written(self, *, is_failed: bool) -> list[dict[str, object]]:
        self._logs = RequestLogLimiter()
        self._logs.budget = LineRateLimiter(lines_per_s=0, burst=0)
        log = RequestLog(self._logs)
        with structlog.testing.capture_logs() as captured:
            for step in range(1, 4):
                log.note(TASK_FAILED, step=step)
            if is_failed:
                log.flush_held()
            else:
                log.discard_held()
        return [dict(line) for line in captured]
