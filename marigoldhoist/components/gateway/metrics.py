"""Metrics of the gateway."""

from marigoldhoist.core.metrics import Metrics


class GatewayMetrics:
    """Request and attempt counters and latency histograms."""

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.counter(
            'requests',
            'Requests that ended, by service, outcome and reason.',
            ('service', 'outcome', 'reason'),
        )
        self.failed_attempts = metrics.counter(
            'attempts',
            'Sends to replicas that gave no answer, by reason.',
            ('service', 'reason'),
        )
        self.models_raised = metrics.counter(
            'models_raised',
            'Doubtful answers for which a larger model was asked.',
            ('service',),
        )
        self.handed_over = metrics.counter(
            'handed_over',
            'Calls handed to other daemons, as no replica was reached.',
            ('service',),
        )
        self.uploads_refused = metrics.counter(
            'uploads_refused',
            'Requests that were refused before their body was read, by reason.',
            ('reason',),
        )
        self.request_seconds = metrics.latency(
            'request_seconds', 'Time from the head of a request to its end.'
        )
        self.first_event_seconds = metrics.latency(
            'first_event_seconds',
            'Time from the head of a request to the first event of its stream.',
        )
