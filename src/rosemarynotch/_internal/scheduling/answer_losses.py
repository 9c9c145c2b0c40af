"""Detects that answers of workers are being lost.

This module performs no I/O.
"""

from collections import deque

import attrs

__all__ = ["AnswerLosses"]

# If a worker answers within this time after an unanswered call, it was not
# down: the call or its answer was lost.
MAX_RECOVERY_S = 2.0
# Answers count as frequently lost from this many losses within the window on.
# A single loss may be an accident.
WINDOW_S = 4.0
MIN_LOSSES = 2


@attrs.define
class AnswerLosses:
    """Distinguishes lost answers from workers that are down.

    A request for a report waits up to a second while no run ends, so each
    lost answer hides the ended runs of a worker for at least that time.
    Shorter waits help while some of the answers are lost. If a whole rack is
    down, they would only add calls.
    """

    _unanswered_at_s: dict[str, float] = attrs.field(factory=dict)
    _losses_at_s: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=MIN_LOSSES)
    )

    def note(self, worker_id: str, is_answered: bool, now_s: float) -> None:
        """Record whether a worker answered a call."""
        if not is_answered:
            self._unanswered_at_s[worker_id] = now_s
            return
        unanswered_at_s = self._unanswered_at_s.pop(worker_id, None)
        if (
            unanswered_at_s is not None
            and now_s - unanswered_at_s <= MAX_RECOVERY_S
        ):
            self._losses_at_s.append(now_s)

    def are_frequent(self, now_s: float) -> bool:
        """Tell whether several answers were lost within the window."""
        return (
            len(self._losses_at_s) == MIN_LOSSES
            and now_s - self._losses_at_s[0] <= WINDOW_S
        )
