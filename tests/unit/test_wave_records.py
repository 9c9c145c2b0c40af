"""Tests of the records and orders of waves after lost or late answers."""

import threading
import types

import attrs
import testtools

from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.evacuation import ServingTaskMover
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveRecord
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.wave_runner import WaveRunner
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.scheduling import CAPACITY
from tests.lib.scheduling import Leader
from tests.unit.test_roster import FENCE
from tests.unit.test_roster import Store

MAINTENANCE_S = 2.0
RECORD_KEY = "waves/1"
STATUS_KEY = "status/wave/1"


class StoreWithWave(Store):
    """A store with one wave of the operator.

    :ivar is_down: whether it refuses all transactions
    """

    def __init__(self):
        super().__init__()
        self.is_down = False

    def commit(self, conditions, writes, deletes=()):
        if self.is_down:
            return STORE_UNAVAILABLE
        return super().commit(conditions, writes, deletes)

    def list_prefix(self, prefix):
        return Listing(items=("wave",), revision=self.revision)


class WaveCase(testtools.TestCase):
    """A leader that maintains the VMs of one wave, one after the other.

    :ivar vms: VMs as the VM service lists them
    :ivar is_list_complete: whether all rows of that list can be read
    :ivar answer: answer of the VM service to all orders
    :ivar order_s: time that the calls of an order take
    :ivar ordered: names of the VMs that were ordered
    :ivar replaced: workers that were recorded as replaced
    """

    def setUp(self):
        super().setUp()
        self.store = StoreWithWave()
        self.vms = {}
        self.is_list_complete = True
        self.answer = None
        self.order_s = 0.0
        self.ordered = []
        self.replaced = []
        self.now_s = 1000.0
        self.wave = Wave(number=1, vms=("a", "b"), duration_s=25.0, max_down=1)
        self.lead()

    def lead(self):
        """Begin a term with the state of the store."""
        self.leader = Leader()
        pools = self.leader.scheduler.configuration.pools
        pools["p"] = PoolPolicy(name="p")
        self.vms.clear()
        for name in self.wave.vms:
            self.show(name, worker_id=f"{name}-1")
        controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=self.leader.scheduler,
            ports=types.SimpleNamespace(
                store=self.store,
                waves_prefix="op/wave/",
                wave_status_prefix="status/wave/",
                decode_wave=lambda item: self.wave,
                encode_wave_status=lambda done: encode(done),
            ),
            clock=types.SimpleNamespace(
                monotonic_s=lambda: self.now_s, wall_s=lambda: self.now_s
            ),
            grant=types.SimpleNamespace(fence=FENCE, term=1),
            log=lambda event, **fields: None,
            metrics=Metrics(),
        )
        controller.mover = self.mover = ServingTaskMover(controller)
        self.runner = WaveRunner(
            controller, self.order, self.replaced.append, MAINTENANCE_S
        )

    def order(self, operation, vms, wave):
        self.ordered += [vm.name for vm in vms]
        self.now_s += self.order_s if vms else 0.0
        return [self.answer] * len(vms)

    def show(self, name, phase=VmPhase.UP, worker_id="", pool="p"):
        """List a VM, with a worker that has no runs."""
        self.vms[name] = FleetVm(
            name=name,
            pool=pool,
            phase=phase,
            data_centre="z",
            labels=("a", "rack-1"),
            capacity=CAPACITY,
            worker_id=worker_id,
        )
        if worker_id and worker_id not in self.leader.scheduler.workers:
            self.leader.add_workers(worker_id)

    def step(self, after_s=0.0):
        self.now_s += after_s
        self.runner.step(self.vms, self.is_list_complete, set(), self.now_s)

    def order_next(self):
        """Let the next VM be cordoned and ordered."""
        self.step()
        self.step()

    def maintain(self, name):
        """Let the maintenance of an ordered VM end."""
        self.show(name, worker_id=f"{name}-2")
        self.step(1.0)

    def record(self):
        return decode(self.store.items[RECORD_KEY].value, WaveRecord)

    def is_shown_as_completed(self):
        return decode(self.store.items[STATUS_KEY].value, bool)


class LateWaveRecordTest(WaveCase):
    """Guards against a late record that replaces a newer one.

    VMs that were ordered since were missing in it, so that the next leader
    counted too few as down (rule LIMIT) and ordered them again.
    """

    def test_record_written_after_a_newer_one(self):
        self.store.loses_calls = True
        self.step()
        self.store.loses_calls = False
        self.step()
        self.assertEqual(["a"], self.ordered)
        self.store.apply_late()
        self.assertEqual({"a": "a-1"}, self.record().ordered)

    def test_record_written_before_a_newer_one(self):
        """Guards against a wave that stops at an unseen write."""
        self.store.loses_calls = True
        self.step()
        self.store.apply_late()
        self.step()
        self.assertEqual(["a"], self.ordered)
        self.assertEqual({"a": "a-1"}, self.record().ordered)

    def test_status_written_after_the_completion(self):
        """Guards against a completed wave that is shown as running."""
        self.order_next()
        self.maintain("a")
        self.store.loses_calls = True
        self.step()
        self.store.loses_calls = False
        late, self.store.late = self.store.late, []
        self.order_next()
        self.maintain("b")
        self.assertTrue(self.is_shown_as_completed())
        self.store.late = late
        self.store.apply_late()
        self.assertTrue(self.is_shown_as_completed())

    def test_record_of_an_earlier_leader(self):
        """Guards against a leader that cannot replace a record."""
        self.order_next()
        self.lead()
        self.maintain("a")
        self.step(1.0)
        self.order_next()
        self.assertEqual({"a", "b"}, set(self.record().ordered))


class CompletionTest(WaveCase):
    """Guards against a completed wave that stays shown as running.

    The write of its status failed once and was not repeated in the term.
    """

    def setUp(self):
        super().setUp()
        self.wave = attrs.evolve(self.wave, vms=("a",))
        self.lead()
        self.order_next()
        self.store.is_down = True
        self.maintain("a")

    def test_write_is_repeated_until_it_is_stored(self):
        self.step()
        self.assertFalse(self.is_shown_as_completed())
        self.store.is_down = False
        self.step()
        self.assertTrue(self.is_shown_as_completed())
        revision = self.store.revision
        self.step()
        self.assertEqual(revision, self.store.revision)

    def test_change_of_the_leader(self):
        """Guards against a status that the next leader does not write."""
        self.store.is_down = False
        self.lead()
        self.maintain("a")
        self.step(1.0)
        self.assertTrue(self.is_shown_as_completed())


class DoneBeforeTest(WaveCase):
    """Guards against work that is kept from a VM that was maintained before.

    An order for it is confirmed and ends nothing, but its worker was taken
    for ended, or emptied, and the wave waited for another one for ever.
    """

    def test_confirmed_order_that_ends_nothing(self):
        self.order_next()
        self.step(1.0)
        self.assertEqual([], self.replaced)
        self.step(MAINTENANCE_S + 1.0)
        self.assertEqual(("a",), self.record().back)
        worker = self.leader.scheduler.workers["a-1"]
        self.assertFalse(worker.is_cordoned)

    def test_worker_ends_as_the_list_shows(self):
        """Guards against an ended worker that is still asked and used."""
        self.order_next()
        self.show("a", phase=VmPhase.MAINTENANCE)
        self.step()
        self.assertEqual({"a-1"}, set(self.replaced))
        self.assertEqual((), self.record().back)

    def test_confirmed_order_of_an_earlier_leader(self):
        self.order_next()
        self.lead()
        self.maintain("a")
        self.step(1.0)
        self.assertEqual(["a"], self.ordered)
        self.assertEqual(("a",), self.record().back)

    def test_order_without_an_answer_that_the_list_shows(self):
        self.answer = PLATFORM_UNAVAILABLE
        self.order_next()
        self.show("a", phase=VmPhase.MAINTENANCE)
        self.step()
        self.maintain("a")
        self.assertEqual(["a"], self.ordered)
        self.assertEqual(("a",), self.record().back)

    def test_order_without_an_answer_that_nothing_shows(self):
        """Guards against a new worker that is taken for a maintenance.

        A VM also has a new worker after a crash (rule MIXED).
        """
        self.answer = PLATFORM_UNAVAILABLE
        self.order_next()
        self.maintain("a")
        self.assertEqual(["a", "a"], self.ordered)
        self.assertEqual((), self.record().back)


class RefusedRepetitionTest(WaveCase):
    """Guards against a VM in maintenance that does not count as down.

    The refusal of a repeated order does not show that the first one, which had
    no answer, was not carried out (rule LIMIT).
    """

    def test_refusal_of_a_repetition(self):
        self.answer = PLATFORM_UNAVAILABLE
        self.order_next()
        self.answer = PLATFORM_REFUSED
        self.order_next()
        self.assertEqual({"a", "a"}, set(self.ordered))
        self.assertEqual({"a": "a-1"}, self.record().ordered)

    def test_refusal_of_a_first_order(self):
        """Guards against a VM that counts as down although it is up."""
        self.answer = PLATFORM_REFUSED
        self.order_next()
        self.assertEqual({}, self.record().ordered)


class MissingVmTest(WaveCase):
    """Guards against a VM that counts as maintained as a list lacks it.

    Its wave was completed without it (rule MIXED), and another VM was ordered
    while it was down (rule LIMIT).
    """

    def test_wave_is_not_completed(self):
        """Guards against lists that are read in part, and single ones."""
        row = self.vms.pop("b")
        self.order_next()
        self.maintain("a")
        self.assertFalse(self.is_shown_as_completed())
        self.vms["b"] = row
        self.step()
        del self.vms["b"]
        self.is_list_complete = False
        for _ in range(10):
            self.step(1.0)
        self.assertFalse(self.is_shown_as_completed())

    def test_ordered_vm_counts_as_down(self):
        self.order_next()
        del self.vms["a"]
        self.is_list_complete = False
        for _ in range(10):
            self.step(1.0)
        self.assertEqual(["a"], self.ordered)

    def test_cordoned_vm(self):
        """Guards against a worker without work whose VM is not chosen."""
        self.step()
        worker = self.leader.scheduler.workers["a-1"]
        self.assertTrue(worker.is_cordoned)
        del self.vms["a"]
        self.step()
        self.assertFalse(worker.is_cordoned)

    def test_vm_that_has_left(self):
        """Guards against a wave that waits for a VM that has left."""
        del self.vms["b"]
        self.order_next()
        self.maintain("a")
        for _ in range(4):
            self.step(1.0)
        self.assertTrue(self.is_shown_as_completed())


class UnreadableRecordTest(WaveCase):
    """Guards against a record that cannot be decoded and counts as empty.

    A second VM was ordered while the first one was down (rule LIMIT).
    """

    def test_vm_in_maintenance(self):
        self.wave = attrs.evolve(self.wave, vms=tuple("abcdef"))
        self.lead()
        self.store.items[RECORD_KEY] = Item(
            key=RECORD_KEY, revision=1, value=b"?"
        )
        self.show("a", phase=VmPhase.MAINTENANCE)
        for _ in range(3):
            self.step(1.0)
        self.assertEqual([], self.ordered)
        self.show("a", worker_id="a-2")
        self.order_next()
        self.assertEqual(1, len(self.ordered))


class SlowOrderTest(WaveCase):
    """Guards against a VM that counts as back while it is maintained.

    The time of its maintenance was counted from before its order (rule LIMIT).
    """

    def test_vm_that_is_off(self):
        pools = self.leader.scheduler.configuration.pools
        pools["p"] = PoolPolicy(name="p", is_standby=True)
        self.show("a")
        self.order_s = 2.0
        self.order_next()
        self.step(MAINTENANCE_S - 0.5)
        self.assertEqual((), self.record().back)
        self.step(1.5)
        self.assertEqual(("a",), self.record().back)
