"""Track versions on hold that the table does not show as held yet."""

import threading


class Holds:
    """The versions on hold, by model.

    A hold adds to the restrictions of the table and never lifts one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: set[tuple[str, str]] = set()

    def hold(self, model: str, version: str) -> None:
        """Stop giving new work to the version."""
        with self._lock:
            self._held.add((model, version))

    def release(self, model: str, version: str) -> None:
        """Remove the hold, so that only the table restricts the version."""
        with self._lock:
            self._held.discard((model, version))

    def is_held(self, model: str, version: str) -> bool:
        """Return whether the version is on hold."""
        return (model, version) in self._held

    def all(self) -> tuple[tuple[str, str], ...]:
        """Return the held versions as sorted pairs of model and version."""
        with self._lock:
            return tuple(sorted(self._held))

    def without_held(
        self, model: str, weights: dict[str, int]
    ) -> dict[str, int]:
        """Return the weights without held versions.

        Returns all weights if every version is on hold.
        """
        weights_without_held = {
            version: weight
            for version, weight in weights.items()
            if not self.is_held(model, version)
        }
        return weights_without_held or weights
