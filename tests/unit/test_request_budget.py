"""Tests of the bound over the memory of requests."""

import time

import testtools

from rosemarynotch._internal.utils.limit_events import LimitEvents
from rosemarynotch._internal.utils.request_budget import RequestBudget
from rosemarynotch._internal.utils.request_budget import RequestHolder

# The budget of a machine of this size is 150 KB.
MEMORY_MB = 1000 / 1024
KB = 1024


class Holder(RequestHolder):
    """Records whether its request was evicted."""

    is_evicted = False

    def evict_request(self):
        """Record the eviction."""
        self.is_evicted = True


class RequestBudgetTest(testtools.TestCase):
    """Guards against a bound that is exceeded or evicts the wrong request."""

    def setUp(self):
        super().setUp()
        self.budget = RequestBudget(MEMORY_MB)
        self.now_s = time.time()

    def hold(self, size_kb, age_s):
        holder = Holder()
        self.budget.hold(holder, size_kb * KB, self.now_s - age_s)
        return holder

    def test_crowd_of_open_requests_stays_within_the_bound(self):
        """Guards against memory that grows with the number of clients.

        The load: 400 clients whose bodies grow in turn and never end.
        """
        holders = [Holder() for _ in range(400)]
        for size_kb in range(8, 904, 8):
            for holder in holders:
                if not holder.is_evicted:
                    self.budget.hold(holder, size_kb * KB, self.now_s - 1)
                self.assertLessEqual(self.budget.held_bytes, 150 * KB)
        self.assertLess(sum(not each.is_evicted for each in holders), 20)

    def test_old_and_large_requests_are_evicted_first(self):
        """Guards against evicting a request that has just begun."""
        small = self.hold(10, 5)
        old = self.hold(60, 5)
        new = self.hold(70, 0)
        added = self.hold(40, 0)
        self.assertEqual(
            [False, True, False, False],
            [each.is_evicted for each in (small, old, new, added)],
        )

    def test_complete_requests_displace_incomplete_ones_only(self):
        """Guards against an accepted request that is dropped for another.

        Complete requests fill the bound while all threads wait for the store.
        """
        holder = self.hold(100, 1)
        self.assertTrue(self.budget.admit(Holder(), 100 * KB))
        self.assertTrue(holder.is_evicted)
        self.assertFalse(self.budget.admit(Holder(), 100 * KB))
        self.assertEqual(100 * KB, self.budget.held_bytes)
        self.budget.release(100 * KB)
        self.assertTrue(self.budget.admit(Holder(), 100 * KB))

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against small requests that are refused for large ones."""
        self.assertTrue(self.budget.admit(Holder(), 70 * KB))
        self.assertFalse(self.budget.admit(Holder(), 70 * KB))
        for _ in range(8):
            self.assertTrue(self.budget.admit(Holder(), 10 * KB))
        self.assertFalse(self.budget.admit(Holder(), 10 * KB))
        self.budget.release(70 * KB)
        self.assertTrue(self.budget.admit(Holder(), 70 * KB))

    def test_own_incomplete_request_is_not_counted_twice(self):
        """Guards against refusing a request beside its own first part."""
        holder = self.hold(100, 1)
        self.assertTrue(self.budget.admit(holder, 110 * KB))
        self.assertFalse(holder.is_evicted)

    def test_callers_within_the_limits_are_not_evicted(self):
        """Guards against a default that ordinary callers reach.

        The load: the bodies of 64 KB of 300 callers, all incomplete.
        """
        self.budget = RequestBudget()
        holders = [self.hold(64, 1) for _ in range(300)]
        self.assertFalse(any(each.is_evicted for each in holders))


class LimitEventsTest(testtools.TestCase):
    """Guards against a log line for each event."""

    def test_events_are_counted_and_logged_once_a_second(self):
        """Guards against lines that cost more than what they report."""
        counts, lines = [], []
        events = LimitEvents(
            lambda name, **labels: counts.append(labels["limit"]),
            lambda event, **fields: lines.append(fields["counts"]),
        )
        for _ in range(1000):
            events.record("connections")
        self.assertEqual(["connections"] * 1000, counts)
        self.assertLessEqual(len(lines), 2)
        self.assertEqual("connections=1", lines[0])
