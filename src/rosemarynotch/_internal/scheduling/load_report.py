"""Load of the leader: a periodic log line, and the record of the last one."""

from collections.abc import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.records import LOAD_KEY
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import Turn
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.process_memory import resident_mb

__all__ = ["LoadReport", "read_last_turns"]

REPORT_INTERVAL_S = 1.0
KILOBYTE = 1024
LEADER_GAUGES = (
    "job_memory_bytes",
    "job_memory_limit_bytes",
    "unloaded_jobs",
    "wave_vms_blocked",
)


class LoadReport:
    """Aggregates the leader's scheduling passes into a line per second.

    :param log: called with the name of an event and its fields
    :param metrics: gets what jobs take, as gauges
    """

    def __init__(self, log: Callable[..., None], metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._reported_at_s = 0.0
        self._reset()

    def close(self) -> None:
        """Clear the gauges, which only the leader sets."""
        for name in LEADER_GAUGES:
            self._metrics.set_gauge(name, 0)

    def _reset(self) -> None:
        self._passes = 0
        self._events = 0
        self._orders = 0
        self._busy_s = 0.0
        self._longest_s = 0.0

    def record_pass(self, took_s: float, events: int, orders: int) -> None:
        """Add a scheduling pass.

        :param took_s: time from the first event to the last order
        :param events: number of answers, reports and changes applied
        :param orders: number of orders issued
        """
        self._passes += 1
        self._events += events
        self._orders += orders
        self._busy_s += took_s
        self._longest_s = max(self._longest_s, took_s)

    def write(
        self,
        scheduler: Scheduler,
        orders_waiting: int,
        take_longest_wait_s: Callable[[], float],
        now_s: float,
    ) -> None:
        """Write the log line if it is due, and start a new interval.

        :param take_longest_wait_s: returns the longest time of an order in
            the queue since the last call
        """
        since_s = now_s - self._reported_at_s
        if since_s < REPORT_INTERVAL_S:
            return
        self._reported_at_s = now_s
        running: dict[str, int] = {}
        workers: dict[str, int] = {}
        for worker in scheduler.workers.values():
            pool = worker.entry.pool
            workers[pool] = workers.get(pool, 0) + worker.accepts_work(now_s)
            running[pool] = running.get(pool, 0) + len(worker.runs)
        memory = scheduler.memory.use
        self._log(
            "leader load",
            passes=self._passes,
            busy_ms=round(self._busy_s * 1000),
            longest_pass_ms=round(self._longest_s * 1000),
            events=self._events,
            orders=self._orders,
            orders_waiting=orders_waiting,
            longest_order_wait_ms=round(take_longest_wait_s() * 1000),
            active_jobs=len(scheduler.active),
            unwritten_jobs=len(scheduler.dirty),
            running=_by_name(running),
            usable_workers=_by_name(workers),
            resident_mb=round(resident_mb()),
            known_jobs=len(scheduler.jobs),
            ended_jobs=len(scheduler.ended),
            unloaded_jobs=len(scheduler.unloaded),
            job_memory_kb=memory.used_bytes // KILOBYTE,
            # Names of organisations may have spaces.
            job_memory_kb_by_organisation=", ".join(
                f"{name}={size // KILOBYTE}"
                for name, size in memory.by_organisation.items()
            ),
        )
        self._metrics.set_gauge("job_memory_bytes", memory.used_bytes)
        self._metrics.set_gauge("job_memory_limit_bytes", memory.limit_bytes)
        self._metrics.set_gauge("unloaded_jobs", len(scheduler.unloaded))
        self._reset()


def _by_name(counts: dict[str, int]) -> str:
    return " ".join(f"{name}={counts[name]}" for name in sorted(counts))


def read_last_turns(
    store: CoordinationStore, log: Callable[..., None]
) -> tuple[Turn, ...]:
    """Return the load peaks that an earlier leader recorded.

    The read is not retried, as the leader can do without them.
    """
    item = store.get(LOAD_KEY)
    if isinstance(item, Failure):
        return ()
    load = decode(item.value, LoadRecord)
    if isinstance(load, Failure):
        log("load refused", why=load.reason)
        return ()
    return load.turns
