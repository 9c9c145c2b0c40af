"""Reads jobs from the store for which there was no memory before."""

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.scheduling.intake_feed import IntakeFeed
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["JobLoader"]

INTERVAL_S = 0.05
# The same when no job could be read.
IDLE_S = 0.25
LOAD_THREADS = 8
LOG_INTERVAL_S = 1.0


class JobLoader:
    """Reads unloaded jobs when they are due and there is memory for them.

    Jobs that workers report, or whose callers have cancelled them, are read at
    once.

    :param feed: adds the jobs
    """

    def __init__(self, controller: "Controller", feed: IntakeFeed) -> None:
        self._controller = controller
        self._feed = feed
        self._threads = ThreadPoolExecutor(LOAD_THREADS, "job-loader")
        self._given_way = 0
        self._logged_at_s = 0.0

    def run(self) -> None:
        """Read jobs until the term ends."""
        controller = self._controller
        while controller.is_running:
            chosen = []
            if len(controller.scheduler.unloaded):
                chosen = self._choose()
                list(self._threads.map(self._load, chosen))
                self._log()
            controller.stop.wait(INTERVAL_S if chosen else IDLE_S)
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _choose(self) -> list[str]:
        controller = self._controller
        wall_ms = controller.clock.wall_s() * 1000
        with controller.lock:
            chosen, given_way = controller.scheduler.choose_loads(
                wall_ms, controller.completion.can_complete
            )
            for job in given_way:
                controller.planner.forget(job.job_id)
                controller.advice.forget(job.job_id)
        self._given_way += len(given_way)
        return chosen

    def _load(self, job_id: str) -> None:
        """Read a job and pass it to the scheduling thread.

        A job that the store does not return is chosen again.
        """
        controller = self._controller
        read: list[Item | None] = []
        for prefix in (JOBS_PREFIX, PROGRESS_PREFIX):
            item = controller.ports.store.get(prefix + job_id)
            if not isinstance(item, Failure):
                read.append(item)
            elif item.is_a(STORE_KEY_MISSING):
                read.append(None)
            else:
                return
        if not controller.is_running:
            return
        job, progress = read
        controller.metrics.count("jobs_loaded")
        controller.post(
            lambda now_s: self._feed.add_unloaded(job_id, job, progress, now_s)
        )

    def _log(self) -> None:
        now_s = self._controller.clock.monotonic_s()
        if now_s - self._logged_at_s < LOG_INTERVAL_S:
            return
        self._logged_at_s = now_s
        self._controller.log(
            "jobs unloaded",
            count=len(self._controller.scheduler.unloaded),
            given_way=self._given_way,
        )
        self._given_way = 0
