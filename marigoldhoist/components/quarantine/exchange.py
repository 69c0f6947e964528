"""Encode and decode what daemons tell each other of crashes.

Each daemon tells all that it knows, by itself or from others, so that nothing
has to be relayed. Times travel as ages.
"""

from collections.abc import Iterable, Mapping

import msgspec

from marigoldhoist.components.directory.models import ReplicaStart
from marigoldhoist.components.quarantine.models import (
    AnswerReport,
    Crash,
    CrashReport,
    HeldPart,
    HeldReport,
    QuarantineFinding,
)
from marigoldhoist.core.decoding import decode_msgpack


def encode_finding(
    crashes: Iterable[Crash],
    answered_s_by_part: Mapping[str, float],
    held: Iterable[HeldPart],
    answered_s_by_replica: Mapping[ReplicaStart, float],
    now_s: float,
) -> bytes | None:
    """Return the encoded finding, None if there is nothing to tell."""
    crash_reports = [
        CrashReport(*crash.replica, now_s - crash.at_s, crash.depth_by_part)
        for crash in crashes
    ]
    held_reports = [
        HeldReport(
            known.part_id,
            now_s - known.held_s,
            known.crashes,
            known.times_held,
        )
        for known in held
    ]
    if not crash_reports and not held_reports:
        return None
    answer_age_s_by_part = {
        part_id: now_s - answered_s_by_part[part_id]
        for report in crash_reports
        for part_id in report.depth_by_part
        if part_id in answered_s_by_part
    }
    answers = [
        AnswerReport(
            report.host,
            report.started_ms,
            now_s - answered_s_by_replica[report.host, report.started_ms],
        )
        for report in crash_reports
        if (report.host, report.started_ms) in answered_s_by_replica
    ]
    return msgspec.msgpack.encode(
        QuarantineFinding(
            crash_reports, answer_age_s_by_part, held_reports, answers
        )
    )


def decode_finding(payload: bytes) -> QuarantineFinding:
    """Return the decoded finding, or raise msgspec.MsgspecError."""
    return decode_msgpack(payload, QuarantineFinding)


def crashes_of(finding: QuarantineFinding, created_s: float) -> list[Crash]:
    """Return the crashes of a finding that was created at a boot time."""
    return [
        Crash(
            (report.host, report.started_ms),
            created_s - report.age_s,
            dict(report.depth_by_part),
        )
        for report in finding.crashes
    ]


def held_of(finding: QuarantineFinding, created_s: float) -> list[HeldPart]:
    """Return the held parts of a finding created at a boot time."""
    return [
        HeldPart(
            report.part_id,
            created_s - report.age_s,
            report.crashes,
            report.times_held,
        )
        for report in finding.held
    ]
