"""Tests of the configuration package: views, keys, freshness, members."""

import random
from unittest import mock

import attrs
import testtools

from rosemarynotch._internal import configuration
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.wiring.process import MemberProcess
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.documents import make_document
from tests.lib.fleet import control
from tests.lib.fleet import heartbeat
from tests.lib.fleet import member
from tests.lib.fleet import pointer
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore


def members_view(names):
    """Return a members view that contains entries with these names."""
    view = configuration.MembersView()
    record = MembersRecord(members={name: member(name) for name in names})
    view.apply(record, 1)
    return view


class KeysTest(testtools.TestCase):
    """Guards against accepting work with an invalid key (P3)."""

    def test_table_of_authorizations(self):
        """Guards against accepting malformed, unknown or withdrawn keys."""
        text, spec = configuration.make_key("gent.quotes", "k1")
        team = TeamSpec(
            name="gent.quotes", share=1.0, limit_requests=1, keys=(spec,)
        )
        document = Document(pools=(), teams=(team,), queues=())
        secret = text.rsplit(".", 1)[1]
        table = [
            ("", failures.KEY_MISSING),
            ("Basic abc", failures.KEY_MISSING),
            ("Bearer", failures.KEY_MISSING),
            ("Bearer abc", failures.KEY_INVALID),
            ("Bearer a..b", failures.KEY_INVALID),
            (f"Bearer {text}x", failures.KEY_INVALID),
            (f"Bearer gent.quotes.k2.{secret}", failures.KEY_WITHDRAWN),
            (f"Bearer brugge.k1.{secret}", failures.TEAM_UNKNOWN),
            (f"Bearer gent.quotes.k1.{secret}\udce9", failures.KEY_INVALID),
        ]
        for authorization, kind in table:
            result = configuration.check_key(document, authorization)
            self.assertTrue(result.is_a(kind), authorization)
        holder = configuration.check_key(document, f"bearer  {text}")
        self.assertEqual(("gent.quotes", "k1"), attrs.astuple(holder))


class OwnerTest(testtools.TestCase):
    """Guards against idempotency keys that change owner needlessly (R5)."""

    def test_only_keys_of_a_lost_entry_move(self):
        """Guards against keys that move although their owner remains."""
        names = [f"entry-{number}" for number in range(6)]
        before, after = members_view(names), members_view(names[1:])
        for number in range(200):
            owner = before.owner("team", str(number))
            if owner != names[0]:
                self.assertEqual(owner, after.owner("team", str(number)))
        self.assertEqual("", configuration.MembersView().owner("a", "b"))


class FreshnessTest(testtools.TestCase):
    """Guards against accepting work with a key that was withdrawn (R6)."""

    def test_each_way_to_be_fresh_ends(self):
        """Guards against freshness that lasts longer than its evidence.

        Evidence is a contact with the store, one reported by another entry, or
        heartbeats of a majority.
        """
        clock = ManualClock()
        view = members_view(["a", "b", "c"])
        freshness = configuration.Freshness(clock, view, "a")
        self.assertIsNotNone(freshness.check())
        freshness.record_store_contact()
        clock.advance(10)
        self.assertIsNone(freshness.check())
        clock.advance(0.1)
        self.assertIsNotNone(freshness.check())
        freshness.record_heartbeat(heartbeat("b", store_age_s=4))
        clock.advance(6)
        self.assertIsNone(freshness.check())
        clock.advance(0.1)
        self.assertIsNotNone(freshness.check())
        freshness.record_heartbeat(heartbeat("c", store_age_s=99))
        self.assertIsNone(freshness.check())
        clock.advance(10.1)
        self.assertIsNotNone(freshness.check())

    def test_only_entries_make_a_majority(self):
        """Guards against counting control processes towards a majority."""
        clock = ManualClock()
        view = configuration.MembersView()
        members = [member(name) for name in "abc"]
        members += [control(name) for name in "xyz"]
        record = MembersRecord(members={each.name: each for each in members})
        view.apply(record, 1)
        freshness = configuration.Freshness(clock, view, "a")
        for senders, fresh in (("b", False), ("bxyz", False), ("bc", True)):
            clock.advance(11)
            for name in senders:
                freshness.record_heartbeat(heartbeat(name, store_age_s=99))
            self.assertEqual(fresh, freshness.check() is None, senders)

    def test_single_entry_is_no_majority(self):
        """Guards against an entry that counts itself as a majority."""
        view = members_view(["a"])
        freshness = configuration.Freshness(ManualClock(), view, "a")
        self.assertIsNotNone(freshness.check())


class ContactTest(testtools.TestCase):
    """Guards against a withdrawn key that is accepted after an outage.

    This happens if a store contact is recorded before the newest document is
    in force.
    """

    def test_contact_counts_with_the_newest_document_only(self):
        """Guards against counting a contact before the document is read."""
        core, clock = KeyValue(), ManualClock()
        view = configuration.MembersView()
        freshness = configuration.Freshness(clock, view, "a")
        checks = []

        class Store(MemoryStore):
            def get(self, key):
                checks.append(freshness.check())
                return super().get(key)

        records = RecordStore(Store(core), clock, random.Random(1))
        change = Change(
            change_id="c", operator="anna", reason="test", expected_version=0
        )
        ConfigChanges(records, clock, "test").apply(make_document(), change)
        checks.clear()
        configuration.Follower(
            records,
            configuration.ConfigInForce(),
            configuration.FleetView(),
            view,
            freshness,
            clock,
        ).refresh_config()
        self.assertEqual(2, len(checks))
        self.assertNotIn(None, checks, "fresh before the document was read")
        self.assertIsNone(freshness.check())

    def test_reported_contact_counts_only_with_the_version_in_force(self):
        """Guards against counting the contact of an entry that is ahead."""
        process = mock.Mock()
        process.in_force.current.version = 3
        recorded = process.freshness.record_heartbeat
        newer = attrs.evolve(heartbeat("b", store_age_s=0), config_version=4)
        MemberProcess._record_contact(process, newer)
        recorded.assert_not_called()
        same = attrs.evolve(newer, config_version=3)
        MemberProcess._record_contact(process, same)
        recorded.assert_called_once_with(same)


class MembershipTest(testtools.TestCase):
    """Guards against members that are lost or confused with others (R2)."""

    def setUp(self):
        super().setUp()
        self.core = KeyValue()
        self.clock = ManualClock()

    def membership(self, me):
        self.store = MemoryStore(self.core)
        records = RecordStore(self.store, self.clock, random.Random(1))
        view = configuration.MembersView()
        return configuration.Membership(records, view, me)

    def listed(self):
        data = self.core.get(MEMBERS_KEY).value
        return codec.decode(data, MembersRecord).members

    def test_lost_answer_is_verified_by_reading(self):
        """Guards against a registration that fails though it was written."""
        membership = self.membership(member("a"))
        self.store.fault, self.store.fault_calls = Fault.LOST_ANSWER, 2
        self.assertIsNotNone(membership.register())
        self.assertIsNone(membership.register())
        self.assertEqual({"a"}, set(self.listed()))

    def test_name_in_use_on_another_vm_is_refused(self):
        """Guards against two processes with the same name."""
        self.assertIsNone(self.membership(member("a")).register())
        self.assertIsNone(self.membership(member("a", "i2")).register())
        self.assertEqual("i2", self.listed()["a"].incarnation)
        other = self.membership(
            attrs.evolve(member("a", "i3"), vm="vm-z")
        ).register()
        self.assertTrue(other.is_a(failures.STORE_CONFLICT))

    def test_old_incarnation_does_not_remove_the_new_one(self):
        """Guards against a restarted member removed by its predecessor."""
        old = self.membership(member("a", "i1"))
        old.register()
        self.membership(member("a", "i2")).register()
        self.assertIsNone(old.remove())
        self.assertEqual("i2", self.listed()["a"].incarnation)

    def test_pause_suspends_until_revalidated(self):
        """Guards against acting on old state after a pause."""
        membership = self.membership(member("a"))
        membership.register()
        notified = []
        membership.add_listener(notified.append)
        guard = configuration.PauseGuard(self.clock)
        guard.add_revalidation(membership.revalidate)
        self.clock.advance(2.1)
        self.assertTrue(guard.suspended())
        self.store.fault = Fault.DOWN
        guard.tick()
        self.assertTrue(guard.suspended())
        self.store.fault = Fault.NONE
        guard.tick()
        self.assertFalse(guard.suspended())
        self.assertEqual([], notified)

    def test_removed_member_registers_as_a_new_one(self):
        """Guards against a removed member that goes on under its old name.

        Others may already have reclaimed what that incarnation held.
        """
        membership = self.membership(member("a"))
        membership.register()
        guard = configuration.PauseGuard(self.clock)
        guard.add_revalidation(membership.revalidate)
        self.membership(member("a")).remove()
        self.clock.advance(3)
        guard.tick()
        self.assertFalse(guard.suspended())
        self.assertNotEqual("i1", membership.me.incarnation)
        self.assertEqual(membership.me, self.listed()["a"])


class DocumentTest(testtools.TestCase):
    """Guards against using a document other than the accepted one (P10)."""

    def test_changed_bytes_are_refused(self):
        """Guards against a stored document that has been changed."""
        document = Document(pools=(), teams=(), queues=())
        data = codec.encode(document)
        digest = configuration.document_digest(data)
        store = MemoryStore(KeyValue())
        store.put(configuration.document_key(digest), data + b"x", 0)
        result = configuration.read_document(store, digest)
        self.assertTrue(result.is_a(failures.DOCUMENT_MALFORMED))

    def test_version_does_not_go_back(self):
        """Guards against an older version that replaces a newer one."""
        in_force = configuration.ConfigInForce()
        document = Document(pools=(), teams=(), queues=())
        self.assertTrue(in_force.apply(pointer(2), document))
        self.assertFalse(in_force.apply(pointer(2), document))
        self.assertFalse(in_force.apply(pointer(1), document))
        self.assertEqual(2, in_force.current.version)
