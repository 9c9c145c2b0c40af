"""Observes when workers are out of service during a wave."""

import random
import threading

from demo.job_checks import Drain
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.reference.http_store import HttpStore
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import SystemClock

__all__ = ["DrainWatch"]

POLL_INTERVAL_S = 0.1


class DrainWatch:
    """Records the drains of workers by polling the fleet record in the store.

    The ledger of the platform shows reboots only, but a worker drains for as
    long as its tasks run before its reboot.

    :param store: address of the store
    """

    def __init__(self, store: str, document: Document) -> None:
        self._clock = SystemClock()
        self._records = RecordStore(
            HttpStore(store, self._clock), self._clock, random.Random()
        )
        self._workers = {
            vm.name
            for pool in document.pools
            if pool.kind is PoolKind.WORKERS
            for vm in pool.vms
        }
        self._unfinished: dict[str, Drain] = {}
        self._finished: list[Drain] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> list[Drain]:
        """Stop polling and return all drains, including unfinished ones."""
        self._stopped.set()
        self._thread.join()
        return self._finished + list(self._unfinished.values())

    def missing(self, drains: list[Drain]) -> list[str]:
        """Return a problem for each worker that was never drained."""
        seen = {drain.worker for drain in drains}
        return [
            f"{name}: no drain observed"
            for name in sorted(self._workers - seen)
        ]

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            before_s = self._clock.monotonic_s()
            found = self._records.read(FLEET_KEY, FleetRecord, True)
            if isinstance(found, Failure):
                continue
            after_s = self._clock.monotonic_s()
            for name, vm in found.value.vms.items():
                if name not in self._workers:
                    continue
                if vm.state is VmState.SERVING:
                    if name in self._unfinished:
                        self._finished.append(self._unfinished.pop(name))
                    continue
                known = self._unfinished.get(name)
                from_s = known.from_s if known else after_s
                self._unfinished[name] = Drain(name, from_s, before_s)
