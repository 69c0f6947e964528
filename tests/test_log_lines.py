"""Test that log lines have the fields that explain a decision.

These are the inputs of the decision, their age or version, and the outcome.
"""

from typing import Final

import pytest

from tests.log_lines import LogLine, log_lines

REQUEST: Final = frozenset(('request_id', 'route', 'elapsed_s'))
EVIDENCE: Final = frozenset(
    ('answers', 'baseline_answers', 'recent_baseline_answers')
) | {
    'failures',
    'latest_ratio',
    'baseline_failures',
    'recent_baseline_failures',
    'failure_ratio',
    'slow_ratio',
    'compared',
    'slow',
    'baseline_compared',
    'baseline_slow',
}
# Required fields of each event: its subject, the inputs of the decision and
# their age.
FIELDS_BY_EVENT: Final = {
    'REQUEST_SENT': REQUEST
    | {'replica', 'version', 'session', 'model', 'tokens_in', 'sends'}
    | {'own_in_flight', 'counted_in_flight', 'count_age_s', 'left_s'}
    | {'limit_per_s', 'closed_for_s'}
    | {'configuration', 'configuration_age_s'},
    'REQUEST_ENDED': REQUEST
    | {'replica', 'model', 'sends', 'events', 'first_s'},
    'REQUEST_FAILED': REQUEST
    | {'code', 'reason', 'verdict', 'sends', 'status', 'retry_after_s', 'path'}
    | {'configuration', 'configuration_age_s'},
    'REQUEST_BROKEN_OFF': REQUEST
    | {'code', 'reason', 'verdict', 'sends', 'status', 'path'}
    | {'configuration', 'configuration_age_s'},
    'CALLER_LEFT': REQUEST | {'replica', 'sends', 'events', 'left_s'},
    'ANSWER_FAILED': REQUEST | {'replica', 'version', 'status', 'sends'},
    'ATTEMPT_FAILED': REQUEST | {'replica', 'reason', 'verdict', 'sends'},
    'NOT_SENT_AGAIN': REQUEST | {'reason', 'sends', 'left_s', 'budget_left'},
    'STREAM_RESUMED': REQUEST | {'replica', 'after_event'},
    'MODEL_RAISED': REQUEST
    | {'asked', 'larger', 'confidence', 'load', 'expected_s', 'left_s'}
    | {'delay_s', 'lasting_delay_s'},
    'CALL_HANDED_OVER': REQUEST
    | {'peer', 'failure_domain', 'service', 'sends', 'left_s', 'after_event'},
    'CALL_TAKEN_OVER': REQUEST | {'from_host', 'sends', 'model', 'left_s'},
    'ANSWER_PASSED_OVER': {'request_id', 'came_for'},
    'INPUT_AFTER_RESPONSE': {'replica'},
    'CALLER_STALLED': REQUEST | {'waited_s'},
    'CALLER_MALFORMED': {'reason'},
    'UPLOAD_REFUSED': {'request_id', 'code', 'reason', 'retry_after_s'}
    | {'announced_bytes', 'configuration', 'configuration_age_s'},
    'SEND_QUEUE_UNKNOWN': {'error'},
    'CALL_HANDLER_FAILED': {'error'},
    'GATEWAY_LISTENING': {'callers'},
    'STOP_BEGUN': {'open', 'serving', 'timed_out'},
    'STOP_ENDED': {'cut'},
    'READINESS_CHANGED': {'is_ready', 'configuration_age_s', 'replicas'},
    'ROLL_OUT_ORDERED': {'service', 'target', 'allowed_s', 'unseen_s'}
    | {'rejected'},
    'VERSION_REJECTED': {'service', 'version', 'order_offset', 'source'},
    'REJECTION_LIFTED': {'service', 'version', 'order_offset', 'source'},
    'REJECTION_STORED': {'service', 'version', 'standing', 'era'},
    'REJECTION_NOT_STORED': {'service', 'version', 'standing', 'reason'},
    'ROLL_OUT_MOVED': {'service', 'target', 'state', 'before', 'progress'},
    'VERSION_FOUND_BAD': {'service', 'version', 'reason', 'progress'}
    | {'other_daemons'},
    'EVIDENCE_PASSED_OVER': {'reason'},
    'ORDER_HELD': {'service', 'target', 'in_force', 'for_s'},
    'STATUS_LOST': {'service', 'target', 'state', 'expected_end'}
    | {'era', 'stored_era'},
    'STATUS_CONFLICT': {'service', 'target', 'state', 'stored', 'era'},
    'STATUS_WRITTEN': {'service', 'target', 'state', 'expected_end'} | EVIDENCE,
    'RAMP_UP_CLEARED': {'service', 'target', 'progress'} | EVIDENCE,
    'RAMP_UP_HELD': {'service', 'target', 'progress'} | EVIDENCE,
    'VERSION_CONFIRMED': {'service', 'target', 'progress'} | EVIDENCE,
    'COMPLETION_HELD': {'service', 'target', 'progress'} | EVIDENCE,
    'COMPLETED_VERSION_FAILS': {'service', 'version', 'answers', 'failures'}
    | {'interval_s'},
    'STATUS_NOT_WRITTEN': {'service', 'target', 'state', 'expected_end'}
    | {'reason'},
    'STORE_LOST': {'topic', 'reasons', 'age_s'},
    'RECORD_FAILED': {'key', 'offset', 'error'},
    'READ_TRUNCATED': {'topic', 'records', 'end', 'age_s'},
    'LATE_READ_FAILED': {'topic', 'error'},
    'ERA_CHANGED': {'topic', 'source', 'era', 'before', 'end'},
    'ERA_REJECTED': {'topic', 'source', 'era', 'known_era'},
    'STORE_REGAINED': {'topic', 'lost_for_s'},
    'TOPIC_READ_ANEW': {'topic', 'end', 'age_s'},
    'PEER_FOUND': {'peer', 'address', 'failure_domain', 'heard_age_s'},
    'PEER_FORGOTTEN': {'peer', 'heard_age_s'},
    'PEER_FAILED': {'peer', 'reason', 'heard_age_s'},
    'READER_CHANGED': {'is_reader', 'members'},
    'READER_RELAYS': {'peer', 'heard_age_s'},
    'REPLICA_FOUND': {'replica', 'service', 'version', 'failure_domain'},
    'REPLICA_LIMITED': {'replica', 'service', 'limit_per_s', 'before'}
    | {'known_for_s', 'daemons'},
    'REPLICA_ANNOUNCED_LEAVING': {'replica', 'service', 'in_flight'}
    | {'known_for_s'},
    'REPLICA_CLOSED': {'replica', 'service', 'for_s', 'in_flight'}
    | {'known_for_s', 'request_id'},
    'REPLICA_BRITTLE': {'replica', 'service', 'rejections_per_s', 'daemons'}
    | {'known_for_s'},
    'BRITTLE_REPLICA_REJECTED': {'replica', 'service', 'for_s', 'in_flight'},
    'REPLICA_LEAVING': {'replica', 'service', 'in_flight', 'known_for_s'},
    'REPLICA_GONE': {'replica', 'service', 'reason', 'known_for_s'},
    'REPLICA_LAPSED': {'replica', 'usable_for_s'},
    'REPLICA_SUSPECTED': {'replica', 'reason', 'failures', 'for_s'},
    'RESTORED_ENTRY_PASSED_OVER': {'replica', 'is_draining'}
    | {'started_ms', 'known_started_ms'},
    'REPLICA_REACHABLE': {'replica', 'service', 'known_for_s'},
    'REPLICA_REPLACED': {'replica', 'address', 'known_for_s'},
    'CONFIGURATION_ADOPTED': {
        'source',
        'before_age_s',
        'version',
        'before',
        'keys',
        'routes',
    },
    'OLDER_CONFIGURATION_PASSED_OVER': {'version', 'in_force'},
    'RECORD_UNREADABLE': {'key', 'offset', 'reason'},
    'DAEMON_STARTED': {'version', 'settings'},
    'DAEMON_STOPPED': {'ran_s'},
    'SETTINGS_RELOADED': {'settings'},
    'SETTINGS_REJECTED': {'error'},
}
LOG_LINES: Final = tuple(log_lines())


class TestLogLines:
    """Every log call in the gateway deployment."""

    @pytest.mark.parametrize('line', LOG_LINES, ids=lambda line: line.location)
    def test_has_the_fields_of_its_event(self, line: LogLine) -> None:
        assert not FIELDS_BY_EVENT[line.event] - line.fields

    def test_every_event_is_logged_somewhere(self) -> None:
        assert FIELDS_BY_EVENT.keys() == {line.event for line in LOG_LINES}
