"""Follows the platform's list of workers and keeps a link to each of them."""

import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.records import ROSTER_KEY
from rosemarynotch._internal.scheduling.records import RosterRecord
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["WorkerFeed"]

# Workers are listed at this interval, and immediately when the VM service
# reports a new one, but at most every MIN_LIST_INTERVAL_S.
LIST_INTERVAL_S = 0.5
MIN_LIST_INTERVAL_S = 0.1


class WorkerFeed:
    """Passes the platform's list of workers to the scheduler.

    Entries of the list may come from other writers. An entry that cannot be
    decoded or connected to is left out and logged; it has no effect on the
    other entries or on the term.

    :ivar list_now: set to list the workers without delay
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self.list_now = threading.Event()
        self._links: dict[str, WorkerLink] = {}
        # Addresses that were last connected to, also without success.
        self._addresses: dict[str, str] = {}
        # Reasons by key, so that each is logged once.
        self._refused: dict[str, str] = {}

    def load_roster(self) -> bool:
        """Read the workers that may have runs of earlier leaders.

        If the roster does not name them all, any worker may have runs.

        :returns: whether the store answered; if not, call this again
        """
        controller = self._controller
        item = controller.ports.store.get(ROSTER_KEY)
        if isinstance(item, Failure):
            return item.is_a(STORE_KEY_MISSING)
        controller.writer.roster_revision = item.revision
        roster = decode(item.value, RosterRecord)
        if isinstance(roster, Failure):
            controller.log("roster refused", why=roster.reason)
            roster = RosterRecord(is_complete=False)
        controller.log(
            "roster read",
            workers=len(roster.workers),
            revision=item.revision,
            written_in_term=roster.term,
            complete=roster.is_complete,
        )
        entries = [
            WorkerEntry(
                worker_id=worker_id,
                started_unix_ms=0,
                pool=pool,
                address=address,
            )
            for worker_id, (pool, address) in roster.workers.items()
        ]
        with controller.lock:
            now_s = controller.clock.monotonic_s()
            scheduler = controller.scheduler
            scheduler.largest_earlier_capacity = roster.largest_capacity
            if not roster.is_complete:
                scheduler.assume_unknown_runs(now_s)
            added = scheduler.set_workers(
                entries,
                now_s,
                are_inherited=True,
                lease_ends_s=controller.known_lease_ends_s(),
            )
            for worker in added:
                worker.pools.update(
                    roster.former_pools.get(worker.worker_id, ())
                )
            self._add_links(added)
        return True

    def run(self) -> None:
        """List the workers until the term ends."""
        controller = self._controller
        while controller.is_running:
            listing = controller.ports.store.list_prefix(
                controller.ports.workers_prefix
            )
            if not isinstance(listing, Failure):
                entries = self._decode(listing.items)
                controller.post(
                    lambda now_s, entries=entries: self._set_workers(
                        entries, now_s
                    )
                )
            controller.stop.wait(MIN_LIST_INTERVAL_S)
            self.list_now.wait(LIST_INTERVAL_S - MIN_LIST_INTERVAL_S)
            self.list_now.clear()

    def _decode(self, items: tuple[Item, ...]) -> list[WorkerEntry]:
        """Return the entries that can be decoded."""
        entries = []
        refused: dict[str, str] = {}
        for item in items:
            entry = self._controller.ports.decode_worker(item)
            if isinstance(entry, Failure):
                refused[item.key] = entry.reason
                if self._refused.get(item.key) != entry.reason:
                    self._controller.log(
                        "worker entry refused", why=entry.reason
                    )
            else:
                entries.append(entry)
        self._refused = refused
        return entries

    def _set_workers(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Update the workers; those of unknown pools are not connected to.

        A worker that is known already stays, since it may have runs of a pool
        that the operator has removed.
        """
        scheduler = self._controller.scheduler
        pools = scheduler.configuration.pool_names
        added = scheduler.set_workers(
            [
                entry
                for entry in entries
                if entry.pool in pools or entry.worker_id in scheduler.workers
            ],
            now_s,
        )
        if any(
            worker.is_enrolled != scheduler.belongs_in_roster(worker, now_s)
            for worker in scheduler.workers.values()
        ):
            self._controller.writer.request_roster_write()
        self._add_links(added)
        for worker in scheduler.workers.values():
            self._follow_entry(worker)

    def _follow_entry(self, worker: Worker) -> None:
        """Connect to a worker at its present address.

        If it is listed as restarted there, a report is requested at once.
        """
        link = self._links.get(worker.worker_id)
        if self._addresses.get(worker.worker_id) != worker.entry.address:
            if link is not None:
                del self._links[worker.worker_id]
                link.discard()
            self._add_links([worker])
        elif (
            link is not None
            and worker.entry.started_unix_ms > worker.started_unix_ms
            and worker.clock_received_at_s
        ):
            link.follow_restart(worker.entry.started_unix_ms)

    def _add_links(self, workers: list[Worker]) -> None:
        controller = self._controller
        for worker in workers:
            self._addresses[worker.worker_id] = worker.entry.address
            try:
                channel = controller.ports.connect_worker(
                    worker.entry, controller.order_timeout
                )
            except ValueError as error:
                # The worker never reports, so it gets no runs.
                controller.log(
                    "worker not connected",
                    worker=worker.worker_id,
                    why=str(error),
                )
                continue
            link = WorkerLink(controller, worker, channel)
            self._links[worker.worker_id] = link
            controller.start_thread(link.run, f"worker-{worker.worker_id}")

    def link(self, worker_id: str) -> WorkerLink | None:
        """Return the link to a worker, None if there is none."""
        return self._links.get(worker_id)

    def close_link(self, worker_id: str) -> None:
        """Close the link to a worker that was removed.

        The next leader need not wait for the lease of such a worker.
        """
        self._controller.writer.request_roster_write()
        self._addresses.pop(worker_id, None)
        link = self._links.pop(worker_id, None)
        if link is not None:
            link.discard()

    def notify_links(self) -> None:
        """Notify the links that run ends have been persisted."""
        for link in list(self._links.values()):
            link.notify()
