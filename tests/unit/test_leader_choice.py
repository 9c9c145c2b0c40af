"""Tests of elections, hand-over by slow leaders, and machine speed."""

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.leadership import DETACHED_S
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.leadership import MIN_TERM_S
from rosemarynotch._internal.scheduling.leadership import SLOW_NODE_DELAY_S
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import LeaderRecord
from rosemarynotch._internal.utils.machine_speed import MachineSpeed


class Clock:
    """A clock that advances only by sleeping."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    def sleep(self, time_s):
        self.now_s += time_s


class Store:
    """A store with one leader key; leases end only by request, not in time."""

    def __init__(self):
        self.leader = None
        self.ended = []
        self.is_down = False

    def get(self, key, allow_stale=False):
        if key == LEADER_KEY and self.leader is not None:
            return self.leader
        return STORE_KEY_MISSING

    def watch(self, prefix, after_revision, wait_ms):
        return Listing(items=(), revision=1)

    def grant_lease(self, ttl_ms):
        return 5

    def renew_lease(self, lease_id):
        return STORE_UNAVAILABLE if self.is_down else None

    def end_lease(self, lease_id):
        if self.is_down:
            return STORE_UNAVAILABLE
        self.ended.append(lease_id)
        self.leader = None
        return None

    def commit(self, conditions, writes, deletes=[]):
        self.leader = Item(key=LEADER_KEY, revision=9, value=writes[0].value)
        return 9


class LeaderChoiceTest(testtools.TestCase):
    """Guards against slow leaders and needless changes of the leader.

    The leadership is run step by step without threads.
    """

    def setUp(self):
        super().setUp()
        self.clock, self.store = Clock(), Store()
        self.is_slow = False
        self.leadership = Leadership(
            self.store,
            self.clock,
            "n",
            "ip",
            "i",
            lambda event, **fields: None,
            is_slow=lambda: self.is_slow,
        )

    def acquire(self):
        """Acquire the leadership; return the election delay."""
        before_s = self.clock.now_s
        self.leadership._try_acquire()
        return self.clock.now_s - before_s

    def advance(self, seconds):
        """Let time pass while the lease is renewed."""
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.sleep(0.25)
            grant = self.leadership._grant
            if grant is None:
                return
            self.leadership._renew(grant)
            self.leadership._step_down_if_slow(grant)

    def test_slow_leader_hands_over(self):
        """Guards against a slow leader that makes the jobs of all pools wait.

        A leader on a machine that ran 6.7 times slower kept its lease for 6 s.
        """
        self.acquire()
        self.advance(MIN_TERM_S + 1)
        self.assertIsNotNone(self.leadership.grant)
        self.is_slow = True
        self.advance(1)
        self.assertIsNone(self.leadership.grant)
        self.assertEqual([5], self.store.ended)

    def test_slow_leaders_do_not_alternate(self):
        """Guards against frequent hand-overs when all nodes are slow.

        Each of them costs a second.
        """
        self.is_slow = True
        self.acquire()
        self.advance(MIN_TERM_S - 0.5)
        self.assertIsNotNone(self.leadership.grant)
        self.advance(1)
        self.assertIsNone(self.leadership.grant)

    def test_slow_node_waits_for_others(self):
        """Guards against a slow node that reacquires what it handed over."""
        self.is_slow = True
        self.assertGreaterEqual(self.acquire(), SLOW_NODE_DELAY_S)

    def test_slow_node_does_not_replace_its_own_record(self):
        """Guards against a slow node that leads again through its old record.

        The record remains if the call that ends the lease is lost. The other
        nodes then wait until the lease expires.
        """
        record = LeaderRecord(node="n", ip="ip", incarnation="i", term=1)
        self.store.leader = Item(
            key=LEADER_KEY, revision=3, value=encode(record)
        )
        self.is_slow = True
        self.acquire()
        self.assertIsNone(self.leadership.grant)
        self.is_slow = False
        self.acquire()
        self.assertIsNotNone(self.leadership.grant)

    def test_previous_leader_waits_less(self):
        """Guards against VM orders that wait after an election.

        The previous leader goes first, since its orders for VMs need not wait
        for the time that has to pass between the orders of two nodes.
        """
        first_s = self.acquire()
        self.leadership.step_down(self.leadership.grant, "test")
        self.store.leader = None
        self.assertLess(self.acquire(), first_s)


class DetachedTest(LeaderChoiceTest):
    """Guards against tasks started under a permission that has run out.

    A leader that the store does not answer goes on with its jobs for a short
    time, and only for that reason.
    """

    def lose_store(self):
        """Let the lease run out while the store does not answer."""
        self.acquire()
        grant = self.leadership.grant
        self.store.is_down = True
        for _ in range(8):
            self.clock.sleep(0.25)
            self.leadership._renew(grant)
            self.leadership.holds(grant)
        self.assertIsNone(self.leadership.grant)
        return grant

    def test_renewal_under_way(self):
        """Guards against a stop while the renewal still awaits its answer.

        The lease ends before a call to a silent store has timed out.
        """
        self.acquire()
        grant = self.leadership.grant

        def renew(lease_id):
            for _ in range(6):
                self.clock.sleep(0.25)
                self.leadership.holds(grant)
            return STORE_UNAVAILABLE

        self.store.renew_lease = renew
        self.leadership._renew(grant)
        self.assertIsNone(self.leadership.grant)
        self.assertTrue(self.leadership.is_detached(grant))

    def test_suspended_during_a_renewal(self):
        """Guards against starts by a process that was suspended meanwhile."""
        self.acquire()
        grant = self.leadership.grant
        self.leadership.holds(grant)

        def renew(lease_id):
            self.clock.sleep(5.0)
            self.leadership.holds(grant)
            return STORE_UNAVAILABLE

        self.store.renew_lease = renew
        self.leadership._renew(grant)
        self.assertFalse(self.leadership.is_detached(grant))

    def test_outage(self):
        """Guards against jobs that stand still while the store is away."""
        grant = self.lose_store()
        self.assertFalse(self.leadership.holds(grant))
        self.assertTrue(self.leadership.is_detached(grant))

    def test_limited_time(self):
        """Guards against starts after the leases on the workers."""
        grant = self.lose_store()
        self.clock.sleep(DETACHED_S)
        self.assertFalse(self.leadership.is_detached(grant))

    def test_suspended_process(self):
        """Guards against starts by a process that was suspended.

        Its lease ran out although the store answered, so another node leads.
        """
        self.acquire()
        grant = self.leadership.grant
        self.clock.sleep(5.0)
        self.assertFalse(self.leadership.holds(grant))
        self.assertFalse(self.leadership.is_detached(grant))

    def test_store_answers_again(self):
        """Guards against two leaders once the store can be reached."""
        grant = self.lose_store()
        self.store.leader = Item(
            key=LEADER_KEY,
            revision=10,
            value=encode(
                LeaderRecord(node="m", ip="other", incarnation="i", term=2)
            ),
        )
        self.leadership._try_acquire()
        self.assertFalse(self.leadership.is_detached(grant))

    def test_higher_fence(self):
        """Guards against starts after a worker has seen another leader."""
        grant = self.lose_store()
        self.leadership.step_down(grant, "a worker has a higher fence")
        self.assertFalse(self.leadership.is_detached(grant))


class MachineSpeedTest(testtools.TestCase):
    """Guards against missing a slow machine or taking load for slowness."""

    def is_slow_after(self, *samples_s):
        rows = iter(samples_s)
        speed = MachineSpeed(lambda: next(rows))
        for _ in samples_s:
            speed.sample()
        return speed.is_slow

    def test_slow_machine(self):
        """Guards against a slow machine that is not detected."""
        self.assertTrue(self.is_slow_after(*[1] * 20, 6, 7, 6, 7))

    def test_interrupted_samples(self):
        """Guards against taking load for slowness.

        Some samples take long because they are interrupted, but one of the
        last ones is fast.
        """
        self.assertFalse(self.is_slow_after(*[1] * 20, 9, 1.1, 9, 9))

    def test_one_fast_sample(self):
        """Guards against a hand-over because of one unusually fast sample.

        A leader on an idle machine handed over for this reason.
        """
        self.assertFalse(
            self.is_slow_after(0.4, *[1] * 20, 1.3, 1.3, 1.3, 1.3)
        )

    def test_few_samples(self):
        """Guards against a judgement after too few samples."""
        self.assertFalse(self.is_slow_after(1, 9, 9, 9, 9))

    def test_real_measurement(self):
        """Guards against a single measurement that fails or counts as slow."""
        speed = MachineSpeed()
        speed.sample()
        self.assertFalse(speed.is_slow)


class UnreadableLeaderTest(testtools.TestCase):
    """Guards against two leaders at a time.

    The record of a leader that another version has written cannot be decoded.
    The key is there as long as its lease, so that leader may still lead.
    """

    def test_record_of_another_version(self):
        store = Store()
        store.leader = Item(key=LEADER_KEY, revision=3, value=b"\xc1")
        leadership = Leadership(
            store, Clock(), "n", "ip", "i", lambda event, **fields: None
        )
        leadership._try_acquire()
        self.assertIsNone(leadership.grant)
