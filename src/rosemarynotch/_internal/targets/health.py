"""Outcomes by target: ejection, probes and warm-up."""

from collections import deque
import threading
from typing import Mapping
from typing import Sequence

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.policy.routing import Candidate
from rosemarynotch._internal.targets.answers import is_draining
from rosemarynotch._internal.targets.answers import is_failed
from rosemarynotch._internal.targets.answers import is_not_run
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["HealthTable"]

WINDOW_OUTCOMES = 20
# One failure out of one must not eject a target.
MIN_OUTCOMES = 5
EJECT_RATE = 0.5
EJECT_TIMES_PEERS = 3.0
MAX_EJECTED_FRACTION = 1 / 3
PROBE_AFTER_S = 5.0
WARM_UP_S = 10.0
# Failures older than this no longer repel work, so that a target that may
# not be ejected is tried again.
FAILURE_MEMORY_S = 5.0
# A VM that is in no pool any more is forgotten after this time.
FORGET_AFTER_S = 60.0


@attrs.define
class _Target:
    """What is known about one VM.

    :ivar out_until_s: no work before this time, 0 when not taken out
    :ivar ejected: taken out for failures, not because it is draining
    """

    instance: str
    since_s: float
    pool: str = ""
    seen_s: float = 0.0
    outcomes: deque = attrs.field(
        factory=lambda: deque(maxlen=WINDOW_OUTCOMES)
    )
    out_until_s: float = 0.0
    ejected: bool = False

    def failure_rate(self) -> float:
        """Return the failed part of the last outcomes."""
        if not self.outcomes:
            return 0.0
        failed = sum(1 for _, bad in self.outcomes if bad)
        return failed / len(self.outcomes)

    def recent_failures(self, now_s: float) -> int:
        """Return the failures that still repel work."""
        since_s = now_s - FAILURE_MEMORY_S
        return sum(1 for at_s, bad in self.outcomes if bad and at_s > since_s)


class HealthTable:
    """Decides which targets get work, by what their answers were.

    :param clock: times ejections, probes and warm-up
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._targets: dict[str, _Target] = {}
        self._pools: dict[str, set[str]] = {}

    def note(self, vm: str, outcome: Answer | Failure) -> None:
        """Record the outcome of a request on a VM."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            target = self._targets.get(vm)
            if target is None:
                return
            if is_draining(outcome):
                target.out_until_s = now_s + PROBE_AFTER_S
                return
            if is_not_run(outcome):
                return
            failed = is_failed(outcome)
            target.outcomes.append((now_s, failed))
            if target.out_until_s:
                self._note_probe(target, failed, now_s)
            elif failed and self._should_eject(target):
                target.out_until_s = now_s + PROBE_AFTER_S
                target.ejected = True

    def usable(
        self,
        pool: str,
        vms: Sequence[tuple[str, VmRecord]],
        in_flight: Mapping[str, int],
    ) -> list[Candidate]:
        """Return the targets that may get one more request now.

        :param vms: the serving VMs of the pool
        :param in_flight: requests of this entry by VM
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            first_use = all(name not in self._targets for name, _ in vms)
            self._pools[pool] = {name for name, _ in vms}
            candidates = []
            for name, record in vms:
                target = self._target(pool, name, record, first_use, now_s)
                slots = _allowed_slots(target, record, now_s)
                running = in_flight.get(name, 0)
                if running < slots:
                    candidates.append(
                        Candidate(
                            name,
                            record.address,
                            slots,
                            running,
                            target.recent_failures(now_s),
                        )
                    )
            return candidates

    def ejected(self) -> tuple[str, ...]:
        """Return the names of the ejected VMs."""
        with self._lock:
            return tuple(n for n, t in self._targets.items() if t.ejected)

    def remove_expired(self) -> None:
        """Drop VMs that have not been offered for a while."""
        before_s = self._clock.monotonic_s() - FORGET_AFTER_S
        with self._lock:
            for name, target in list(self._targets.items()):
                if target.seen_s < before_s:
                    del self._targets[name]

    def _target(self, pool, name, record, first_use, now_s):
        target = self._targets.get(name)
        if target is None or target.instance != record.instance:
            # At the first use of a pool, or the first after a long pause,
            # all its targets are new to this process but not to others.
            since_s = now_s - WARM_UP_S if first_use else now_s
            target = _Target(instance=record.instance, since_s=since_s)
            self._targets[name] = target
        target.pool = pool
        target.seen_s = now_s
        return target

    def _note_probe(self, target, failed, now_s):
        if now_s < target.out_until_s:
            return
        if failed:
            target.out_until_s = now_s + PROBE_AFTER_S
            return
        target.out_until_s = 0.0
        target.ejected = False
        target.since_s = now_s
        target.outcomes.clear()

    def _should_eject(self, target):
        if len(target.outcomes) < MIN_OUTCOMES:
            return False
        rate = target.failure_rate()
        if rate <= EJECT_RATE:
            return False
        names = self._pools.get(target.pool, ())
        peers = [
            self._targets[name]
            for name in names
            if name in self._targets and self._targets[name] is not target
        ]
        ejected = 1 + sum(1 for peer in peers if peer.ejected)
        if ejected > len(names) * MAX_EJECTED_FRACTION:
            return False
        rates = [
            peer.failure_rate()
            for peer in peers
            if not peer.ejected and len(peer.outcomes) >= MIN_OUTCOMES
        ]
        # Without peers to compare with, the cause may be common to all.
        if not rates:
            return False
        return rate > EJECT_TIMES_PEERS * sum(rates) / len(rates)


def _allowed_slots(target, record, now_s):
    if target.out_until_s:
        return 1 if now_s >= target.out_until_s else 0
    age_s = now_s - target.since_s
    if age_s >= WARM_UP_S:
        return record.slots
    return max(1, int(record.slots * age_s / WARM_UP_S))
