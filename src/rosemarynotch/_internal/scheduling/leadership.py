"""Leader election between the nodes, through a lease in the store."""

from collections.abc import Callable
import threading

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import LEASE_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import LeaderRecord
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Grant", "Leadership"]

# The lease has to be shorter than the leases on workers (LEASE_S in
# controller.py), so that a new leader takes over before their runs lapse.
LEASE_TTL_MS = 1200
RENEW_INTERVAL_S = 0.2
# The leader stops giving orders this long before its lease can expire.
SAFETY_MARGIN_S = 0.2
# A leader that the store does not answer goes on with the jobs that it knows
# for at most this time after its lease. It is below the leases on workers,
# which it no longer extends.
DETACHED_S = 4.0
# A renewal without an answer for this time counts as a silent store.
SILENT_RENEWAL_S = 0.3
# The permission is checked far more often. After a longer gap the process was
# suspended, and the store may have answered another node meanwhile.
MAX_CHECK_GAP_S = 0.5
WATCH_MS = 2000
RETRY_S = 0.2
# Election delay of a node that has not led before. The previous leader goes
# first because it does not have to wait for the holder interval, the time that
# has to pass between the orders of two nodes for the same VM.
FIRST_TERM_DELAY_S = 0.08
# Election delay of a slow node, which leads only if no other node does.
SLOW_NODE_DELAY_S = 1.0
# A slow leader keeps its term for at least this time, which limits the rate of
# hand-overs when all nodes are slow.
MIN_TERM_S = 5.0


@attrs.frozen(kw_only=True)
class Grant:
    """The leadership for one term.

    :ivar fence: fencing token, which increases with every leader; workers
        reject calls with a lower one
    """

    term: int
    fence: int
    lease_id: int


class Leadership:
    """Acquires and renews this node's leadership through a lease in the store.

    :param election_delay_s: time that this node leaves to better candidates
        before it tries to acquire a free leadership
    :param hint_port: port on which this node receives hints, 0 if it does not
    :param is_slow: returns whether the machine runs far slower than usual
    :param clock: has to include the time during which the machine is suspended
    """

    def __init__(
        self,
        store: CoordinationStore,
        clock: Clock,
        node: str,
        ip: str,
        incarnation: str,
        log: Callable[..., None],
        election_delay_s: float = 0.0,
        hint_port: int = 0,
        is_slow: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._clock = clock
        self._node = node
        self._ip = ip
        self._incarnation = incarnation
        self._log = log
        self._election_delay_s = election_delay_s
        self._hint_port = hint_port
        self._is_slow = is_slow
        self._has_led = False
        self._acquired_at_s = 0.0
        self._leader: LeaderRecord | None = None
        self._lock = threading.Lock()
        self._valid_until_s = 0.0
        self._grant: Grant | None = None
        self._is_store_silent = False
        self._renewing_since_s: float | None = None
        self._checked_at_s = 0.0
        self._detached: Grant | None = None
        self._detached_until_s = 0.0
        self._resigned = threading.Event()

    @property
    def grant(self) -> Grant | None:
        """Return the current grant, None if it may have ended."""
        grant = self._grant
        return grant if grant is not None and self.holds(grant) else None

    @property
    def node(self) -> str:
        """Return the name of this node."""
        return self._node

    def hint_address(self) -> tuple[str, int] | None:
        """Return host and port for hints to the leader.

        :returns: None if the leader is unknown, is this node or receives no
            hints
        """
        leader = self._leader
        if leader is None or not leader.hint_port or leader.ip == self._ip:
            return None
        return leader.ip, leader.hint_port

    def holds(self, grant: Grant) -> bool:
        """Return whether orders may be given under a grant.

        Once this has returned False for a grant, it never returns True again:
        each thread of the leader exits when it sees False, and a late renewal
        must not let the remaining threads continue without it.
        """
        with self._lock:
            last_check_s = self._checked_at_s
            self._checked_at_s = self._clock.monotonic_s()
            if self._grant is not grant or self._is_valid():
                return self._grant is grant
            self._end_unrenewed(grant, last_check_s)
        self._log(
            "leadership lost",
            term=grant.term,
            why="lease not renewed in time; it may have expired",
        )
        return False

    def _end_unrenewed(self, grant: Grant, last_check_s: float) -> None:
        """End a grant that was not renewed; detach if the store is silent.

        :param last_check_s: when the grant was last found valid
        """
        self._grant = None
        now_s = self._clock.monotonic_s()
        since_s = self._renewing_since_s
        is_silent = self._is_store_silent or (
            since_s is not None and now_s - since_s >= SILENT_RENEWAL_S
        )
        if is_silent and now_s - last_check_s <= MAX_CHECK_GAP_S:
            self._detached, self._detached_until_s = grant, now_s + DETACHED_S

    def is_detached(self, grant: Grant) -> bool:
        """Tell whether tasks may still be started under an ended grant.

        This holds for a short time if the grant ended because the store did
        not answer. In an outage, no other node leads. If another node does
        lead, the fences of the workers that it has asked for their runs
        refuse this node, and it starts none of the inherited tasks before it
        has asked them. Nothing else may be done under such a grant.
        """
        now_s = self._clock.monotonic_s()
        return self._detached is grant and now_s < self._detached_until_s

    def step_down(self, grant: Grant, why: str) -> None:
        """End a grant, for example after a worker has seen a higher fence."""
        if self._detached is grant:
            self._detached = None
        if self._grant is grant:
            self._grant = None
            self._log("leadership lost", term=grant.term, why=why)

    def resign(self) -> None:
        """End the leadership for good before a planned stop."""
        self._resigned.set()
        grant, self._grant = self._grant, None
        self._detached = None
        if grant is not None:
            self._store.end_lease(grant.lease_id)
            self._log("leadership handed over", term=grant.term)

    def _step_down_if_slow(self, grant: Grant) -> None:
        """Hand over to another node if this machine is slow.

        A slow machine still renews its lease in time, while the jobs of all
        pools wait for its decisions.
        """
        age_s = self._clock.monotonic_s() - self._acquired_at_s
        if age_s >= MIN_TERM_S and self._is_slow():
            self.step_down(grant, "this machine is slow")
            self._store.end_lease(grant.lease_id)

    def run(self, stop: threading.Event) -> None:
        """Acquire and renew the leadership until the process stops."""
        while not stop.is_set() and not self._resigned.is_set():
            grant = self._grant
            if grant is not None:
                self._renew(grant)
                self._step_down_if_slow(grant)
                stop.wait(RENEW_INTERVAL_S)
            elif not self._try_acquire():
                stop.wait(RETRY_S)

    def _is_valid(self) -> bool:
        return self._clock.monotonic_s() < self._valid_until_s

    def _renew(self, grant: Grant) -> None:
        requested_at_s = self._clock.monotonic_s()
        self._renewing_since_s = requested_at_s
        failure = self._store.renew_lease(grant.lease_id)
        self._renewing_since_s = None
        self._is_store_silent = failure is not None and not failure.is_a(
            LEASE_LOST
        )
        if failure is None:
            with self._lock:
                if self._grant is grant:
                    self._extend(requested_at_s)
        elif failure.is_a(LEASE_LOST):
            self.step_down(grant, "the store reports that the lease has ended")
        else:
            self.holds(grant)

    def _extend(self, requested_at_s: float) -> None:
        self._valid_until_s = (
            requested_at_s + LEASE_TTL_MS / 1000 - SAFETY_MARGIN_S
        )

    def _try_acquire(self) -> bool:
        """Acquire the leadership if it is free, or wait for a change.

        :returns: False if the store did not answer
        """
        item = self._store.get(LEADER_KEY)
        is_missing = isinstance(item, Failure) and item.is_a(STORE_KEY_MISSING)
        if is_missing or not isinstance(item, Failure):
            # The store answers, so what happens next is decided there.
            self._detached = None
        if is_missing:
            self._clock.sleep(self._current_delay_s())
            return self._acquire(None)
        if isinstance(item, Failure):
            return False
        record = decode(item.value, LeaderRecord)
        if isinstance(record, Failure):
            # A leader of another version may hold its lease.
            self._log("leader record refused", why=record.reason)
            record = None
        elif record.ip == self._ip and not self._is_slow():
            # The record was written by an earlier process on this node, which
            # has exited, since this process holds its listening ports.
            return self._acquire(item)
        self._leader = record
        changes = self._store.watch(LEADER_KEY, item.revision, WATCH_MS)
        return not isinstance(changes, Failure)

    def _current_delay_s(self) -> float:
        delay_s = self._election_delay_s
        if not self._has_led:
            delay_s += FIRST_TERM_DELAY_S
        if self._is_slow():
            delay_s += SLOW_NODE_DELAY_S
        return delay_s

    def _acquire(self, item: Item | None) -> bool:
        """Write this node's leader record.

        :param item: the record to replace, None if there is none
        :returns: False if the store did not answer
        """
        term = self._next_term()
        if isinstance(term, Failure):
            return False
        requested_at_s = self._clock.monotonic_s()
        lease_id = self._store.grant_lease(LEASE_TTL_MS)
        if isinstance(lease_id, Failure):
            return False
        record = LeaderRecord(
            node=self._node,
            ip=self._ip,
            incarnation=self._incarnation,
            term=term[0],
            hint_port=self._hint_port,
        )
        revision = self._store.commit(
            [
                Condition(LEADER_KEY, item.revision if item else 0),
                Condition(TERM_KEY, term[1]),
            ],
            [
                Write(LEADER_KEY, encode(record), lease_id),
                Write(TERM_KEY, encode(term[0])),
            ],
        )
        if not isinstance(revision, int):
            # A write without an answer may still be applied. Its lease ends
            # soon, and this process never uses that leadership.
            self._store.end_lease(lease_id)
            return not isinstance(revision, Failure)
        if self._resigned.is_set():
            self._store.end_lease(lease_id)
            return True
        self._extend(requested_at_s)
        self._has_led = True
        self._acquired_at_s = requested_at_s
        self._leader = None
        self._grant = Grant(term=term[0], fence=revision, lease_id=lease_id)
        self._log("leadership taken", term=term[0], fence=revision)
        return True

    def _next_term(self) -> tuple[int, int] | Failure:
        """Return the next term and the revision of the term key."""
        item = self._store.get(TERM_KEY)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                return 1, 0
            return item
        last = decode(item.value, int)
        return last if isinstance(last, Failure) else (last + 1, item.revision)


# This key has no lease, so that terms never repeat.
TERM_KEY = "control/term"
