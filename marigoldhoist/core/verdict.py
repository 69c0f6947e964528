"""Verdict on whether a request was run by an upstream."""

import enum


class Verdict(enum.Enum):
    """Whether an upstream ran a request; values go on the wire."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def allows_retry(self) -> bool:
        """Return whether a request that must not run twice may be resent."""
        return self is Verdict.NOT_RUN
