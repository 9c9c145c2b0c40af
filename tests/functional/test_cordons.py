"""Tests of a wave over a VM whose serving tasks fit nowhere else."""

from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import RECOVERY_S
from tests.lib.nodes import wait_until

WAVE_S = 20.0
STATUS_KEY = "status/wave/1"


class PinnedTaskTest(PlatformCase):
    """Guards against a VM that is neither maintained nor serves (rule LOST).

    It was kept from new runs until its serving task had moved, for which no
    other worker had the label.
    """

    NODES = 1
    POOLS = {"one": 3}

    def setUp(self):
        super().setUp()
        self.vm = self.emulator.vms["vm-1"]
        # Racks are labels, and no other VM is in this one.
        self.vm.rack = "rack-of-its-own"
        self.emulator.lapse_entry(self.vm, 0.0)
        self.step = {"required-label": self.vm.rack}
        self.lasting = {"long-running": True, "max-unavailable": 1}

    def start_serving(self, count):
        """Start a job on the VM."""
        fields = self.step | self.lasting
        _, status = self.nodes.submit(0, "lasting", count, **fields)
        self.assertEqual(200, status)
        wait_until(
            lambda: self.vm.worker.running_count == count,
            RECOVERY_S,
            "it runs on the VM",
        )

    def assert_serves_others(self):
        """Check that a job which needs the VM is completed."""
        job_id, status = self.nodes.submit(0, "work=0.1", 1, **self.step)
        self.assertEqual(200, status)
        self.assert_completed([job_id], WAVE_S)

    def is_wave_completed(self):
        return b"completed" in (self.emulator.store.value(STATUS_KEY) or b"")

    def test_task_that_may_be_stopped(self):
        """Guards against a wave that never ends."""
        self.start_serving(1)
        self.emulator.put_wave(1, ["vm-1"], cap=1)
        wait_until(self.is_wave_completed, WAVE_S, "the wave is completed")
        self.assert_serves_others()
        wait_until(
            lambda: self.vm.worker and self.vm.worker.running_count == 1,
            RECOVERY_S,
            "it runs on the VM again",
        )

    def test_tasks_of_which_one_may_be_stopped(self):
        """Guards against tasks stopped beyond their budget (rule AVAIL)."""
        self.start_serving(2)
        other = next(
            vm for vm in self.emulator.vms.values() if vm is not self.vm
        )
        self.emulator.put_wave(1, [self.vm.name, other.name], cap=1)
        wait_until(
            lambda: 1 in other.waves, WAVE_S, "the other VM is maintained"
        )
        self.assert_serves_others()
        self.assertEqual(2, self.vm.worker.running_count)
        self.assertEqual(set(), self.vm.waves)
        self.assertFalse(self.is_wave_completed())
