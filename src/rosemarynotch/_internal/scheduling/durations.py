"""Estimates run times from tasks that have ended."""

import attrs

__all__ = ["DurationEstimator"]

# Weight of the newest observation in the moving mean, which covers about the
# last 20 observations.
LEARNING_RATE = 0.05
# Weight of the declared run time of a task. Declared run times are far off,
# while the measured ones vary less among the tasks of a queue.
DECLARED_WEIGHT = 0.4


@attrs.define
class DurationEstimator:
    """Estimates run times from a moving mean for each queue."""

    _means_ms: dict[str, float] = attrs.field(factory=dict)

    def observe(self, queue: str, duration_ms: float) -> None:
        """Include the run time of an ended task in the mean of its queue."""
        mean = self._means_ms.get(queue)
        if mean is None:
            self._means_ms[queue] = duration_ms
        else:
            change = LEARNING_RATE * (duration_ms - mean)
            self._means_ms[queue] = mean + change

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the expected run time of a task.

        This is the declared run time as long as no task of the queue has
        ended.
        """
        mean = self._means_ms.get(queue)
        if mean is None:
            return declared_ms
        return DECLARED_WEIGHT * declared_ms + (1 - DECLARED_WEIGHT) * mean
