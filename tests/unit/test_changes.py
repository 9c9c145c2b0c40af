"""Tests of changes of the configuration (rule R6)."""

import random

import attrs
import testtools

from rosemarynotch._internal.configuration import document_digest
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import Head
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.changes import MAX_HISTORY
from rosemarynotch._internal.operators.differences import consequences
from rosemarynotch._internal.operators.differences import differences
from rosemarynotch._internal.operators.snapshot import Usage
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.documents import make_document
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore


def change(number, expected_version, operator="anna"):
    return Change(
        change_id=f"c{number}",
        operator=operator,
        reason="test",
        expected_version=expected_version,
    )


class LossyStore(MemoryStore):
    """Loses the answers to the next writes of one key.

    :ivar losses: for each of these writes, whether it takes effect
    :ivar key: the key whose writes are affected
    """

    losses = ()
    key = "config/current"

    def put(self, key, value, expected, lease=""):
        """Write a value, possibly without an answer or effect."""
        if key != self.key or not self.losses:
            return super().put(key, value, expected, lease)
        took_effect, *self.losses = self.losses
        if took_effect:
            super().put(key, value, expected, lease)
        return failures.STORE_UNAVAILABLE.with_ran_unknown()


class ChangesTest(testtools.TestCase):
    """Guards against lost, duplicate, reverted and untried changes."""

    def setUp(self):
        super().setUp()
        self.store = LossyStore(KeyValue())
        self.changes = self.make_changes(self.store)

    def make_changes(self, store):
        records = RecordStore(store, ManualClock(), random.Random(1))
        return ConfigChanges(records, ManualClock(), "trial")

    def assert_failure(self, kind, result):
        self.assertIsInstance(result, Failure)
        self.assertTrue(result.is_a(kind), result)

    def test_versions_count_up_and_the_head_has_the_revision(self):
        """Guards against gaps in versions and a head that lags behind."""
        for number in range(MAX_HISTORY + 5):
            document = make_document(limit_requests=number + 1)
            version = self.changes.apply(document, change(number, number))
            self.assertEqual(number + 1, version.version)
        pointer = self.changes.pointer()
        self.assertEqual(MAX_HISTORY, len(pointer.history))
        self.assertEqual(document, self.changes.document(version.digest))
        head = codec.decode(self.store.get("head").value, Head)
        revision = self.store.get("config/current").revision
        self.assertEqual(revision, head.config_revision)

    def test_repeated_change_has_no_effect(self):
        """Guards against a repeated change that makes another version."""
        first = self.changes.apply(make_document(), change(1, 0))
        again = self.changes.apply(make_document(), change(1, 0))
        self.assertEqual(first, again)
        self.assertEqual(1, self.changes.pointer().current.version)

    def test_change_id_of_another_document_is_refused(self):
        """Guards against taking another change for a repeated one."""
        self.changes.apply(make_document(), change(1, 0))
        result = self.changes.apply(make_document(5), change(1, 1))
        self.assert_failure(failures.IDEMPOTENCY_KEY_REUSED, result)

    def test_of_two_operators_on_one_version_one_is_told(self):
        """Guards against reverting another operator's change unnoticed."""
        other = self.make_changes(MemoryStore(self.store.core))
        self.changes.apply(make_document(), change(1, 0))
        accepted = self.changes.apply(make_document(5), change(2, 1))
        result = other.apply(make_document(6), change(3, 1, "bert"))
        self.assertEqual(2, accepted.version)
        self.assert_failure(failures.VERSION_CHANGED, result)
        self.assertIn("by anna", result.reason)

    def test_change_of_another_operator_between_read_and_write(self):
        """Guards against overwriting a change made after the read."""
        other = self.make_changes(MemoryStore(self.store.core))
        write = self.store.put

        def put_after_other(key, value, expected, lease=""):
            if key == "config/current":
                self.store.put = write
                other.apply(make_document(6), change(3, 0, "bert"))
            return write(key, value, expected, lease)

        self.store.put = put_after_other
        result = self.changes.apply(make_document(), change(1, 0))
        self.assert_failure(failures.VERSION_CHANGED, result)
        self.assertEqual("bert", self.changes.pointer().current.operator)

    def test_lost_answers_neither_lose_nor_double_a_change(self):
        """Guards against lost and duplicate changes after lost answers.

        The write may have taken effect or not.
        """
        for losses in ([True], [False], [False, True], [True, True]):
            store = LossyStore(KeyValue())
            changes = self.make_changes(store)
            store.losses = losses
            version = changes.apply(make_document(), change(1, 0))
            self.assertEqual(1, version.version, losses)
            self.assertEqual((), changes.pointer().history)

    def test_lost_answer_before_an_outage_is_unknown_until_looked_up(self):
        """Guards against a definite outcome of a change that is unknown."""
        self.changes.apply(make_document(), change(1, 0))
        write = self.store.put

        def put_then_down(key, value, expected, lease=""):
            result = write(key, value, expected, lease)
            if key == "config/current":
                self.store.fault = Fault.DOWN
            return result

        self.store.put = put_then_down
        self.store.losses = [True]
        result = self.changes.apply(make_document(5), change(2, 1))
        self.assert_failure(failures.CHANGE_UNKNOWN, result)
        self.assertIn("c2", result.reason)
        self.store.fault = Fault.NONE
        self.assertEqual(2, self.changes.find_change("c2").version)

    def test_change_during_a_store_outage_is_reported_as_not_run(self):
        """Guards against an unknown outcome of a change never written."""
        self.store.fault = Fault.DOWN
        result = self.changes.apply(make_document(), change(1, 0))
        self.assert_failure(failures.STORE_UNAVAILABLE, result)
        self.assertIs(failures.Ran.NO, result.ran)

    def test_rollback_is_a_new_version_of_the_old_document(self):
        """Guards against versions that go back after a rollback."""
        first = self.changes.apply(make_document(), change(1, 0))
        self.changes.apply(make_document(5), change(2, 1))
        back = self.changes.rollback(1, change(3, 2))
        self.assertEqual((3, first.digest), (back.version, back.digest))
        result = self.changes.rollback(9, change(4, 3))
        self.assert_failure(failures.STORE_KEY_MISSING, result)

    def test_only_the_tried_document_is_promoted(self):
        """Guards against promoting a document that differs from the trial."""
        tried = self.changes.try_document(make_document(), change(1, 0))
        other = make_document(5)
        other_digest = document_digest(codec.encode(other))
        for document, digest in (
            (other, tried.digest),
            (make_document(), other_digest),
            (other, other_digest),
        ):
            result = self.changes.promote(document, digest, change(2, 1))
            self.assert_failure(failures.DOCUMENT_NOT_TRIED, result)
        self.assertEqual(1, self.changes.pointer().current.version)
        version = self.changes.promote(
            make_document(), tried.digest, change(2, 1)
        )
        self.assertEqual(2, version.version)

    def test_promotion_with_a_trial_from_another_store(self):
        """Guards against accepting the trial of another document."""
        tried = self.changes.try_document(make_document(), change(1, 0))
        trial = self.changes.trials.find(tried.digest)
        production = self.make_changes(LossyStore(KeyValue()))
        wrong = attrs.evolve(trial, digest="0" * 64)
        result = production.promote(
            make_document(), tried.digest, change(1, 0), wrong
        )
        self.assert_failure(failures.DOCUMENT_NOT_TRIED, result)
        version = production.promote(
            make_document(), tried.digest, change(1, 0), trial
        )
        self.assertEqual(tried.digest, version.digest)


class DifferencesTest(testtools.TestCase):
    """Guards against changes whose effects are not shown to the operator."""

    def test_differences_name_team_and_vm(self):
        """Guards against differences that do not say what is affected."""
        old = make_document()
        pool = attrs.evolve(old.pools[0], vms=old.pools[0].vms[:1])
        new = attrs.evolve(make_document(5), pools=(pool,), queues=())
        self.assertEqual(
            [
                "VM s-2 removed from pool settlement",
                "team harbour: limit_requests 10 -> 5",
                "queue settle removed",
            ],
            differences(old, new),
        )
        self.assertEqual([], differences(old, old))

    def test_consequences(self):
        """Guards against hiding that a change stops work or serving VMs."""
        old = make_document()
        usage = Usage(
            complete=True,
            running_by_team={"harbour": 6},
            work_by_pool={"settlement": 8},
            serving_by_pool={"settlement": frozenset(("s-1",))},
        )
        without = attrs.evolve(old, teams=old.teams[1:], pools=())
        shrunk = attrs.evolve(old.pools[0], vms=old.pools[0].vms[1:])
        for new, wanted in (
            (make_document(6), []),
            (make_document(5), ["limit 5 is under the 6 running"]),
            (without, ["removed with 6", "removed with 8"]),
            (attrs.evolve(old, pools=(shrunk,)), ["0 VMs would serve"]),
        ):
            found = consequences(old, new, usage)
            self.assertEqual(len(wanted), len(found), found)
            for text, line in zip(wanted, found):
                self.assertIn(text, line)

    def test_missing_data_needs_a_confirmation(self):
        """Guards against taking unknown use of the VMs for none."""
        found = consequences(
            make_document(), make_document(9), Usage(complete=False)
        )
        self.assertIn("not known what it runs", found[0])


class UnreliableStore(MemoryStore):
    """Loses answers, delays writes and lets other operators interfere.

    :ivar rng: source of the random faults
    :ivar late: arguments of writes that are delayed
    :ivar others: changes of other operators to make before a write
    """

    def __init__(self, core, rng):
        super().__init__(core)
        self.rng = rng
        self.late = []
        self.others = []

    def put(self, key, value, expected, lease=""):
        """Write a value at once, with a delay, or not at all."""
        if self.others and self.rng.random() < 0.3:
            self.others.pop()()
        if self.late and self.rng.random() < 0.5:
            super().put(*self.late.pop())
        chance = self.rng.random()
        if chance < 0.6:
            return super().put(key, value, expected, lease)
        if chance < 0.75:
            super().put(key, value, expected, lease)
        elif chance < 0.9:
            self.late.append((key, value, expected, lease))
        return failures.STORE_UNAVAILABLE.with_ran_unknown()


class RacingOperatorsTest(testtools.TestCase):
    """Guards against wrong outcomes of changes during lost and late writes.

    An accepted change must not vanish or be reverted, and a change that is
    reported as not made must not take effect.
    """

    def test_reported_outcomes_match_the_history(self):
        """Guards against outcomes that contradict the history."""
        for seed in range(300):
            self.run_operators(seed)

    def run_operators(self, seed):
        rng = random.Random(seed)
        store = UnreliableStore(KeyValue(), rng)
        changes = ConfigChanges(
            RecordStore(store, ManualClock(), rng), ManualClock(), "trial"
        )
        outcomes = {}
        seen = {}

        def operate(number):
            pointer = changes.pointer()
            version = pointer.current.version if pointer else 0
            result = changes.apply(
                make_document(number + 1), change(number, version)
            )
            outcomes[f"c{number}"] = result

        def check_history():
            pointer = changes.pointer()
            for item in (pointer.current, *pointer.history) if pointer else ():
                known = seen.setdefault(item.version, item)
                self.assertEqual(known, item, seed)

        store.others = [lambda n=n: operate(n) for n in range(10, 16)]
        for number in range(6):
            operate(number)
            check_history()
        store.rng = random.Random(seed)
        for late in store.late:
            MemoryStore.put(store, *late)
        check_history()
        self.assertEqual(list(range(1, len(seen) + 1)), sorted(seen), seed)
        accepted = [item.change_id for item in seen.values()]
        self.assertEqual(len(set(accepted)), len(accepted), seed)
        for change_id, result in outcomes.items():
            if not isinstance(result, Failure):
                self.assertEqual(result, seen[result.version], seed)
            elif result.ran is failures.Ran.NO:
                self.assertNotIn(change_id, accepted, seed)
