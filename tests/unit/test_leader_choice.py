"""Which node leads, and when a leader hands over."""

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.leadership import MIN_TERM_S
from rosemarynotch._internal.scheduling.leadership import SLOW_HANDICAP_S
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import LeaderRecord
from rosemarynotch._internal.utils.machine_speed import MachineSpeed


class Clock:
    """Moves when somebody sleeps."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    def sleep(self, time_s):
        self.now_s += time_s


class Store:
    """Grants one leader; a lease ends only when it is ended."""

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
    """Leadership step by step, without threads."""

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

    def take(self):
        """Take leadership; return how long this node waited for others."""
        before_s = self.clock.now_s
        self.leadership._seek()
        return self.clock.now_s - before_s

    def beat(self, seconds):
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
        """A leader on a machine that ran 6.7 times slower kept its lease for
        6 s, and the jobs of all pools waited.
        """
        self.take()
        self.beat(MIN_TERM_S + 1)
        self.assertIsNotNone(self.leadership.grant)
        self.is_slow = True
        self.beat(1)
        self.assertIsNone(self.leadership.grant)
        self.assertEqual([5], self.store.ended)

    def test_slow_leaders_do_not_alternate(self):
        """With all nodes slow, each hand-over costs a second."""
        self.is_slow = True
        self.take()
        self.beat(MIN_TERM_S - 0.5)
        self.assertIsNotNone(self.leadership.grant)
        self.beat(1)
        self.assertIsNone(self.leadership.grant)

    def test_slow_node_waits_for_others(self):
        """It would take back at once what it has handed over."""
        self.is_slow = True
        self.assertGreaterEqual(self.take(), SLOW_HANDICAP_S)

    def test_slow_node_does_not_take_its_own_key_back(self):
        """The end of its lease got lost: others wait until it lapses."""
        record = LeaderRecord(node="n", ip="ip", incarnation="i", term=1)
        self.store.leader = Item(
            key=LEADER_KEY, revision=3, value=encode(record)
        )
        self.is_slow = True
        self.take()
        self.assertIsNone(self.leadership.grant)
        self.is_slow = False
        self.take()
        self.assertIsNotNone(self.leadership.grant)

    def test_node_that_has_led_goes_first(self):
        """Its orders for VMs need no pause."""
        first_s = self.take()
        self.leadership.step_down(self.leadership.grant, "test")
        self.store.leader = None
        self.assertLess(self.take(), first_s)


class MachineSpeedTest(testtools.TestCase):
    """Load must not look like a slow machine."""

    def speeds(self, *samples_s):
        rows = iter(samples_s)
        speed = MachineSpeed(lambda: next(rows))
        for _ in samples_s:
            speed.sample()
        return speed.is_slow

    def test_slow_machine(self):
        self.assertTrue(self.speeds(*[1] * 20, 6, 7, 6, 7))

    def test_interrupted_samples(self):
        self.assertFalse(self.speeds(*[1] * 20, 9, 1.1, 9, 9))

    def test_one_fast_sample(self):
        """A leader on an idle machine handed over without a reason."""
        self.assertFalse(self.speeds(0.4, *[1] * 20, 1.3, 1.3, 1.3, 1.3))

    def test_few_samples(self):
        self.assertFalse(self.speeds(1, 9, 9, 9, 9))

    def test_real_measure(self):
        speed = MachineSpeed()
        speed.sample()
        self.assertFalse(speed.is_slow)
