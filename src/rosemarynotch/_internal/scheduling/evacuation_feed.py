"""Follows the operator's requests to evacuate data centres."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.scheduling.ports import Item

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["EvacuationFeed"]

# A watch whose connection has gone silent is noticed after this time and the
# time-out of a call.
WATCH_MS = 800
# Watches are shorter if the bound is, as the age of the requests known here
# grows by the length of a watch.
WATCHES_PER_BOUND = 4
MIN_WATCH_MS = 100
RETRY_S = 0.2
METRIC = "evacuations_in_force"
# A start that is sent takes this long at most to reach its worker if nothing
# is lost. Requests that are older than the bound without it are not relied on.
START_MARGIN_S = 0.4
# A bound that is too short to be kept must not end all starts.
MIN_AGE_S = 0.5


class EvacuationFeed:
    """Provides the data centres that are to be evacuated.

    A request is a key below a prefix; its value does not matter. Of changes
    that are received together, only the result is passed on.

    After the term, which may be that of a leader without the store, requests
    are added and none is removed: another leader may know of later ones.

    :ivar data_centres: names of the data centres that are to be evacuated
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._prefix = controller.ports.evacuations_prefix
        bound_s = controller.ports.evacuation_bound_s
        self._max_age_s = max(bound_s - START_MARGIN_S, MIN_AGE_S)
        wait_ms = round(bound_s * 1000) // WATCHES_PER_BOUND
        self._watch_ms = max(MIN_WATCH_MS, min(WATCH_MS, wait_ms))
        # Revisions of the requests, by data centre.
        self._revisions: dict[str, int] = {}
        self._revision = 0
        self._contact_at_s = -1e9
        self._is_failing = False
        self._has_refused = False
        self.data_centres: frozenset[str] = frozenset()

    @property
    def is_enabled(self) -> bool:
        """Return whether requests are followed."""
        return bool(self._prefix)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether tasks may start by what is known of the requests.

        If the store has not answered for almost the bound, a task may start
        in a data centre for which a request exists that is not known.
        """
        if not self.is_enabled:
            return True
        return now_s - self._contact_at_s < self._max_age_s

    def load(self) -> bool:
        """Read all requests.

        :returns: whether the store answered; if not, call this again
        """
        if not self.is_enabled:
            return True
        requested_at_s = self._controller.clock.monotonic_s()
        listing = self._controller.ports.store.list_prefix(self._prefix)
        if isinstance(listing, Failure):
            self._record_failure(listing)
            return False
        self._revision = listing.revision
        # The pages of a listing are read one after the other, so an item may
        # be newer than the revision from which the watch goes on.
        self._revisions = {}
        self._update(listing.items)
        self._record_contact(requested_at_s)
        return True

    def run(self) -> None:
        """Follow the requests while tasks may be started."""
        is_known = True
        while self._controller.may_start:
            is_known = self._watch() if is_known else self.load()
            if not is_known:
                self._controller.stop.wait(RETRY_S)

    def close(self) -> None:
        """Show no evacuations in force once this node does not lead."""
        if self.is_enabled:
            self._controller.metrics.set_gauge(METRIC, 0)

    def _watch(self) -> bool:
        """Wait for changes.

        :returns: False if the requests have to be listed again
        """
        requested_at_s = self._controller.clock.monotonic_s()
        changes = self._controller.ports.store.watch(
            self._prefix, self._revision, self._watch_ms
        )
        if isinstance(changes, Failure):
            if changes.is_a(STORE_HISTORY_LOST):
                self._controller.log(
                    "evacuations listed again", why=changes.reason
                )
            else:
                self._record_failure(changes)
            return False
        self._revision = max(self._revision, changes.revision)
        self._update(changes.items)
        self._record_contact(requested_at_s)
        return True

    def _update(self, items: Iterable[Item]) -> None:
        """Apply changes, which a listing may have shown before."""
        for item in items:
            name = item.key.removeprefix(self._prefix)
            known = self._revisions.get(name, 0)
            if not name:
                self._refuse(item)
            elif item.value is not None and item.revision > known:
                self._revisions[name] = item.revision
            elif item.value is None and item.revision >= known:
                self._revisions.pop(name, None)
        names = frozenset(self._revisions)
        if not self._controller.is_running:
            names |= self.data_centres
        if names != self.data_centres:
            self.data_centres = names
            self._apply(names)

    def _apply(self, names: frozenset[str]) -> None:
        """Put the present requests in force at once.

        Starts are checked again under the lock before they are sent.
        """
        controller = self._controller
        with controller.lock:
            now_s = controller.clock.monotonic_s()
            controller.scheduler.set_evacuated(names, now_s)
        controller.metrics.set_gauge(METRIC, len(names))

    def _refuse(self, item: Item) -> None:
        if not self._has_refused:
            self._has_refused = True
            self._controller.log(
                "evacuation refused", key=item.key, why="no name"
            )

    def _record_contact(self, requested_at_s: float) -> None:
        """Record that all requests up to a time have been applied."""
        self._contact_at_s = requested_at_s
        if self._is_failing:
            self._is_failing = False
            self._controller.log("evacuations read again")

    def _record_failure(self, failure: Failure) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._controller.log("evacuations not read", why=failure.reason)
