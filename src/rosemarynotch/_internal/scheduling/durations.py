"""Run times learnt from tasks that ended."""

import attrs

__all__ = ["DurationEstimator"]

# Weight of the newest observation; about the last 20 count.
LEARNING_RATE = 0.05
# Declared run times are far off, those of a queue's tasks vary less.
DECLARED_WEIGHT = 0.4


@attrs.define
class DurationEstimator:
    """Mean run time of the tasks of each queue."""

    _means_ms: dict[str, float] = attrs.field(factory=dict)

    def observe(self, queue: str, duration_ms: float) -> None:
        """Take the run time of a task into account."""
        mean = self._means_ms.get(queue)
        if mean is None:
            self._means_ms[queue] = duration_ms
        else:
            change = LEARNING_RATE * (duration_ms - mean)
            self._means_ms[queue] = mean + change

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the expected run time of a task."""
        mean = self._means_ms.get(queue)
        if mean is None:
            return declared_ms
        return DECLARED_WEIGHT * declared_ms + (1 - DECLARED_WEIGHT) * mean
