"""Versions that health holds before the table says so."""

import threading


class Holds:
    """Held versions by model; only ever adds to what the table forbids."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: set[tuple[str, str]] = set()

    def hold(self, model: str, version: str) -> None:
        """Give the version no new work."""
        with self._lock:
            self._held.add((model, version))

    def release(self, model: str, version: str) -> None:
        """Let the table alone decide again."""
        with self._lock:
            self._held.discard((model, version))

    def is_held(self, model: str, version: str) -> bool:
        """Tell whether the version is held."""
        return (model, version) in self._held

    def all(self) -> tuple[tuple[str, str], ...]:
        """Return the held versions, each with its model."""
        with self._lock:
            return tuple(sorted(self._held))

    def without_held(
        self, model: str, weights: dict[str, int]
    ) -> dict[str, int]:
        """Return the weights without held versions, unless none is left."""
        left = {
            version: weight
            for version, weight in weights.items()
            if not self.is_held(model, version)
        }
        return left or weights
