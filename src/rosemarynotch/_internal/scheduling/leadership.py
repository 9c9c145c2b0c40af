"""Which node gives orders."""

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

# The lease has to be shorter than the leases on workers (LEASE_S of the
# controller), so that a new leader takes over before their runs lapse.
LEASE_TTL_MS = 1200
RENEW_INTERVAL_S = 0.2
# The leader stops by itself this long before its lease can end.
SAFETY_S = 0.2
WATCH_MS = 2000
RETRY_S = 0.2
# A node that has not led before waits so long for the one that has, whose
# orders for VMs need no pause.
NEWCOMER_HANDICAP_S = 0.08
# A slow node leads only if no other does.
SLOW_HANDICAP_S = 1.0
# A slow leader hands over at most this often, also when all nodes are slow.
MIN_TERM_S = 5.0


@attrs.frozen(kw_only=True)
class Grant:
    """Leadership of one term.

    :ivar fence: grows with every leader; workers refuse lower ones
    """

    term: int
    fence: int
    lease_id: int


class Leadership:
    """Takes and keeps leadership through a lease in the store.

    :param election_delay_s: time by which this node waits for better ones
    :param is_slow: tells whether the machine runs far slower than usual
    :param clock: must count the time during which the machine is suspended
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
        self._handicap_s = election_delay_s
        self._hint_port = hint_port
        self._is_slow = is_slow
        self._has_led = False
        self._taken_at_s = 0.0
        self._leader: LeaderRecord | None = None
        self._lock = threading.Lock()
        self._valid_until_s = 0.0
        self._grant: Grant | None = None
        self._resigned = threading.Event()

    @property
    def grant(self) -> Grant | None:
        """Return the present grant, None if it may have ended."""
        grant = self._grant
        return grant if grant is not None and self.holds(grant) else None

    @property
    def node(self) -> str:
        """Return the name of this node."""
        return self._node

    def hint_address(self) -> tuple[str, int] | None:
        """Return where another node that leads receives hints."""
        leader = self._leader
        if leader is None or not leader.hint_port or leader.ip == self._ip:
            return None
        return leader.ip, leader.hint_port

    def holds(self, grant: Grant) -> bool:
        """Tell whether orders may be given under a grant.

        Once this is denied, it stays so: parts of the leader end when they
        are told, and a renewal that comes late must not let the others go on
        without them.
        """
        with self._lock:
            if self._grant is not grant or self._is_valid():
                return self._grant is grant
            self._grant = None
        self._log(
            "leadership lost", term=grant.term, why="the lease may have ended"
        )
        return False

    def step_down(self, grant: Grant, why: str) -> None:
        """Stop giving orders, for example after a higher fence was seen."""
        if self._grant is grant:
            self._grant = None
            self._log("leadership lost", term=grant.term, why=why)

    def resign(self) -> None:
        """Hand over before a planned stop."""
        self._resigned.set()
        grant, self._grant = self._grant, None
        if grant is not None:
            self._store.end_lease(grant.lease_id)
            self._log("leadership handed over", term=grant.term)

    def _step_down_if_slow(self, grant: Grant) -> None:
        """Hand over to a node that can carry the load.

        A slow machine still renews its lease in time, and the jobs of all
        pools would wait for it.
        """
        age_s = self._clock.monotonic_s() - self._taken_at_s
        if age_s >= MIN_TERM_S and self._is_slow():
            self.step_down(grant, "this machine is slow")
            self._store.end_lease(grant.lease_id)

    def run(self, stop: threading.Event) -> None:
        """Seek and keep leadership until the process stops."""
        while not stop.is_set() and not self._resigned.is_set():
            grant = self._grant
            if grant is not None:
                self._renew(grant)
                self._step_down_if_slow(grant)
                stop.wait(RENEW_INTERVAL_S)
            elif not self._seek():
                stop.wait(RETRY_S)

    def _is_valid(self) -> bool:
        return self._clock.monotonic_s() < self._valid_until_s

    def _renew(self, grant: Grant) -> None:
        asked_at_s = self._clock.monotonic_s()
        failure = self._store.renew_lease(grant.lease_id)
        if failure is None:
            with self._lock:
                if self._grant is grant:
                    self._extend(asked_at_s)
        elif failure.is_a(LEASE_LOST):
            self.step_down(grant, "the lease has ended")
        elif not self._is_valid():
            self.step_down(grant, f"no renewal: {failure.reason}")

    def _extend(self, asked_at_s: float) -> None:
        self._valid_until_s = asked_at_s + LEASE_TTL_MS / 1000 - SAFETY_S

    def _seek(self) -> bool:
        """Wait for a free leadership and try to take it.

        :returns: False if the store did not answer
        """
        item = self._store.get(LEADER_KEY)
        if isinstance(item, Failure) and item.is_a(STORE_KEY_MISSING):
            self._clock.sleep(self._present_handicap_s())
            return self._take(None)
        if isinstance(item, Failure):
            return False
        record = decode(item.value, LeaderRecord)
        if isinstance(record, Failure) or (
            record.ip == self._ip and not self._is_slow()
        ):
            # The process that wrote this ran on this node and is gone: this
            # one has its listening ports.
            return self._take(item)
        self._leader = record
        changes = self._store.watch(LEADER_KEY, item.revision, WATCH_MS)
        return not isinstance(changes, Failure)

    def _present_handicap_s(self) -> float:
        election_delay_s = self._handicap_s
        if not self._has_led:
            election_delay_s += NEWCOMER_HANDICAP_S
        if self._is_slow():
            election_delay_s += SLOW_HANDICAP_S
        return election_delay_s

    def _take(self, item: Item | None) -> bool:
        term = self._next_term()
        if isinstance(term, Failure):
            return False
        asked_at_s = self._clock.monotonic_s()
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
            # Without an answer the write may still happen; its lease ends
            # soon, and this process never acts on it.
            self._store.end_lease(lease_id)
            return not isinstance(revision, Failure)
        if self._resigned.is_set():
            self._store.end_lease(lease_id)
            return True
        self._extend(asked_at_s)
        self._has_led = True
        self._taken_at_s = asked_at_s
        self._leader = None
        self._grant = Grant(term=term[0], fence=revision, lease_id=lease_id)
        self._log("leadership taken", term=term[0], fence=revision)
        return True

    def _next_term(self) -> tuple[int, int] | Failure:
        """Return the next term, and the revision of the last one's key."""
        item = self._store.get(TERM_KEY)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                return 1, 0
            return item
        last = decode(item.value, int)
        return last if isinstance(last, Failure) else (last + 1, item.revision)


# Outlives the leases, so that terms never repeat.
TERM_KEY = "control/term"
