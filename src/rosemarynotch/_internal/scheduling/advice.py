"""Tickets of the advice service, asked for ahead and kept."""

from collections.abc import Sequence
import threading

import attrs

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.placement import Room
from rosemarynotch._internal.scheduling.ports import Ticket

__all__ = ["AdviceCache", "AdviceRequest"]

# Most workers that are named in one call; each adds to its time.
MAX_WORKERS = 30
# A ticket that is about to end is not used: the start takes time.
TICKET_MARGIN_S = 0.3
# A refused or failed call is repeated after this time.
RETRY_S = 0.3

StepKey = tuple[str, int, int]


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Workers to ask for, for one step."""

    key: StepKey
    workers: tuple[str, ...]
    validity_ms: int


@attrs.define
class _Advice:
    tickets: dict[str, str] = attrs.field(factory=dict)
    valid_until_s: float = 0.0
    asked_at_s: float = -1e9


class AdviceCache:
    """Tickets by step, and the calls that are wanted."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._known: dict[StepKey, _Advice] = {}
        self._wanted: dict[StepKey, AdviceRequest] = {}
        self.has_requests = threading.Event()

    def tickets(
        self,
        step: Step,
        policy: AdvicePolicy,
        rooms: Sequence[Room],
        now_s: float,
    ) -> dict[str, str]:
        """Return valid tickets by worker, and ask when there are none."""
        key = _key(step)
        workers = [
            room.worker.worker_id
            for room in sorted(
                rooms, key=lambda room: -room.free.cpu_millicores
            )
        ]
        with self._lock:
            advice = self._known.setdefault(key, _Advice())
            is_valid = now_s < advice.valid_until_s - TICKET_MARGIN_S
            usable = set(workers) & set(advice.tickets) if is_valid else set()
            if not usable and now_s - advice.asked_at_s > RETRY_S:
                advice.asked_at_s = now_s
                self._wanted[key] = AdviceRequest(
                    key=key,
                    workers=tuple(workers[:MAX_WORKERS]),
                    validity_ms=policy.validity_ms,
                )
                self.has_requests.set()
            return {each: advice.tickets[each] for each in usable}

    def ticket(self, run: Run) -> str:
        """Return the ticket that a run was started with."""
        with self._lock:
            advice = self._known.get(_key(run.task.step))
            return advice.tickets.get(run.worker_id, "") if advice else ""

    def next_request(self) -> AdviceRequest | None:
        """Return the oldest wanted call."""
        with self._lock:
            if not self._wanted:
                self.has_requests.clear()
                return None
            return self._wanted.pop(next(iter(self._wanted)))

    def record_answer(
        self, request: AdviceRequest, tickets: list[Ticket], asked_at_s: float
    ) -> None:
        """Keep the tickets of an answer.

        :param asked_at_s: tickets count as valid from here on
        """
        with self._lock:
            advice = self._known.setdefault(request.key, _Advice())
            advice.tickets |= {t.worker_id: t.value for t in tickets}
            advice.valid_until_s = asked_at_s + request.validity_ms / 1000

    def forget(self, job_id: str) -> None:
        """Drop what is kept for the steps of a job."""
        with self._lock:
            for key in [key for key in self._known if key[0] == job_id]:
                del self._known[key]
                self._wanted.pop(key, None)


def _key(step: Step) -> StepKey:
    occurrence = step.occurrence
    return occurrence.job.job_id, occurrence.number, step.number
