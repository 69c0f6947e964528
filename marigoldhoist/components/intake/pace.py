"""Whether input keeps to the least rate at which it has to come."""


class InputPace:
    """Tracks how far input is behind its least rate.

    Input that came faster than needed for a while gains no credit, so that it
    cannot stop for long afterwards. All times are in seconds of one clock.
    """

    def __init__(self, min_bytes_per_s: float, now_s: float) -> None:
        self._min_bytes_per_s = min_bytes_per_s
        self._paid_until_s = now_s

    def note(self, received_bytes: int, now_s: float) -> None:
        """Record received bytes."""
        paid_s = received_bytes / self._min_bytes_per_s
        self._paid_until_s = min(now_s, self._paid_until_s + paid_s)

    def behind_s(self, now_s: float) -> float:
        """Return for how long nothing would have had to come."""
        return max(0, now_s - self._paid_until_s)

    def due_s(self, grace_s: float) -> float:
        """Return when the input is behind by a time, without further bytes."""
        return self._paid_until_s + grace_s
