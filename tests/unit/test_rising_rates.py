"""Tests of the rates of queues whose demand rises steeply."""

import random

import testtools

from rosemarynotch._internal.scheduling.policy import Arrival
from rosemarynotch._internal.scheduling.policy import ArrivalRates
from rosemarynotch._internal.scheduling.policy import RisingRates

WORK_VM_MS = 1000
RISE_MS = 2000
SEEDS = range(10)


def estimates(rates, per_s, seed, rise_ms=RISE_MS):
    """Return times and estimates while a queue rises to a rate and stays."""
    rng = random.Random(seed)
    found = []
    for now_ms in range(0, 8000, 10):
        share = min(1.0, now_ms / max(rise_ms, 1))
        if rng.random() < per_s * share / 100:
            rates.note("p", Arrival(f"{now_ms}", now_ms, WORK_VM_MS))
        if now_ms % 150 == 0:
            found.append((now_ms, rates.vms("p", now_ms)))
    return found


class TestRises(testtools.TestCase):
    """Guards against pools that are two seconds behind a rise."""

    PER_S = 45

    def mean(self, make_rates, begin_ms, end_ms):
        """Return the mean estimate in a period, over the seeds."""
        values = [
            vms
            for seed in SEEDS
            for now_ms, vms in estimates(make_rates(), self.PER_S, seed)
            if begin_ms <= now_ms < end_ms
        ]
        return sum(values) / len(values)

    def test_estimate_is_ahead_of_a_rise(self):
        """Guards against VMs that are ordered after the jobs have arrived.

        On a quiet day, all late jobs were those of the first seconds of turns
        that could not be forecast.
        """
        needed = self.PER_S * WORK_VM_MS / 1000
        before = self.mean(ArrivalRates, 900, 1600)
        after = self.mean(RisingRates, 900, 1600)
        self.assertLess(abs(needed - after), abs(needed - before))

    def test_steady_rate_is_not_raised(self):
        """Guards against idle VMs during a peak."""
        before = self.mean(ArrivalRates, 4000, 8000)
        after = self.mean(RisingRates, 4000, 8000)
        self.assertLess(after, 1.05 * before)


class TestLargeJobs(testtools.TestCase):
    """Guards against VMs for random clusters of a few large jobs."""

    def test_few_arrivals_show_no_rise(self):
        for seed in SEEDS:
            present = estimates(ArrivalRates(), 5, seed)
            self.assertEqual(present, estimates(RisingRates(), 5, seed))
