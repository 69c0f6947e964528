"""Say whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether an upstream may have acted on a request."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def allows_retry(self) -> bool:
        """Tell whether a non-repeatable request may be sent again."""
        return self is Verdict.NOT_RUN
