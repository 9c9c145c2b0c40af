"""Tests of compare-and-swap updates on records."""

import random

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.records import Head
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore


class RecordStoreTest(testtools.TestCase):
    """Guards against lost updates and updates of an outdated value."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(KeyValue())
        self.records = RecordStore(self.store, ManualClock(), random.Random(1))

    def test_conflicting_update_is_repeated_on_the_newer_value(self):
        """Guards against overwriting an update made after the read."""
        has_raced = []

        def change(head):
            if not has_raced:
                has_raced.append(True)
                self.records.bump_head(fleet_revision=7)
            return Head(config_revision=3, fleet_revision=head.fleet_revision)

        self.records.update("head", Head, Head(), change)
        head = self.records.read("head", Head).value
        self.assertEqual(Head(config_revision=3, fleet_revision=7), head)

    def test_lost_answer_is_reported_as_possibly_run(self):
        """Guards against reporting a write as not made that took effect."""
        self.store.fault = Fault.LOST_ANSWER
        result = self.store.put("a", b"1", 0)
        self.assertIs(Ran.UNKNOWN, result.ran)
        self.store.fault = Fault.NONE
        self.assertEqual(b"1", self.store.get("a").value)

    def test_head_never_goes_back(self):
        """Guards against a head that hides a newer revision."""
        self.records.bump_head(config_revision=9)
        self.records.bump_head(config_revision=4)
        head = self.records.read("head", Head).value
        self.assertEqual(9, head.config_revision)

    def test_outage_returns_store_unavailable(self):
        """Guards against an exception or endless repeats in an outage."""
        self.store.fault = Fault.DOWN
        result = self.records.bump_head(config_revision=1)
        self.assertIsInstance(result, Failure)
        self.assertTrue(result.is_a(failures.STORE_UNAVAILABLE))
