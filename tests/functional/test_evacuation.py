"""Tests of node processes while data centres are evacuated."""

import signal
import threading
import time

from standins.fleet import Emulator
from standins.fleet.store import StoreFault
from standins.fleet.worker import WorkerFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import configuration
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

DATA_CENTRES = ("zone-1", "zone-2")
EVACUATE_MS = 3000
EVACUATE_S = EVACUATE_MS / 1000
# Bound after a disturbance of the store.
CONTACT_S = 4.0
SUBMIT_INTERVAL_S = 0.1


class TestEvacuation(PlatformCase):
    """Guards against starts in a data centre that is being evacuated.

    Jobs are submitted all the time. Each test looks at what the workers have
    run.
    """

    POOLS = {"one": 4, "two": 2, "spare": 2}

    def setUp(self):
        self.job_ids = []
        self.stop = threading.Event()
        super().setUp()

    def make_nodes(self):
        """Start the nodes on a platform with two data centres."""
        self.emulator.close()
        self.emulator = Emulator(
            dict(self.POOLS), standby="spare", data_centres=DATA_CENTRES
        )
        self.addCleanup(self.emulator.close)
        self.emulator.put_configuration(configuration())
        return Nodes(
            self.emulator, self.NODES, bounds={"evacuate-ms": EVACUATE_MS}
        )

    def start_load(self, work="work=0.35"):
        """Submit jobs that need more than half of the VMs all the time."""

        def submit():
            while not self.stop.wait(SUBMIT_INTERVAL_S):
                for node in range(self.NODES):
                    job_id, status = self.nodes.submit(node, work, 2, cpu=4000)
                    if status == 200:
                        self.job_ids.append(job_id)
                        break

        thread = threading.Thread(target=submit, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stop.set)
        for data_centre in DATA_CENTRES:
            self.wait_for_start(data_centre)

    def starts(self, data_centre, since_s=0.0):
        """Return the runs that were started in a data centre since a time."""
        data_centres = self.emulator.data_centre_by_worker
        return [
            entry
            for entry in self.emulator.ledger.snapshot()
            if data_centres[entry.worker] == data_centre
            and entry.started_at_s > since_s
        ]

    def wait_for_start(self, data_centre, since_s=None):
        """Wait until a run is started in a data centre."""
        since_s = time.monotonic() if since_s is None else since_s
        wait_until(
            lambda: self.starts(data_centre, since_s),
            START_S,
            f"starts in {data_centre}",
        )

    def assert_no_starts(self, data_centre, since_s, lasts_s=2.0):
        """Check that nothing starts in a data centre from a time on."""
        time.sleep(max(0.0, since_s + lasts_s - time.monotonic()))
        self.assertEqual([], self.starts(data_centre, since_s))

    def assert_all_done_once(self):
        """Check that all accepted jobs end, without a task that runs twice."""
        self.stop.set()
        self.assert_completed(list(self.job_ids), timeout_s=30.0)
        self.assertEqual([], self.emulator.ledger.overlaps())
        self.assertEqual([], self.emulator.ledger.repeats())

    def test_evacuation_and_return(self):
        """Guards against starts there after the bound, and none afterwards."""
        self.start_load()
        acknowledged_s = self.emulator.evacuate("zone-1", b"\xff not json")
        self.emulator.evacuate("")
        self.assert_no_starts("zone-1", acknowledged_s + EVACUATE_S)
        self.wait_for_start("zone-2")
        leader = self.nodes.leader()
        self.assertIn("evacuations_in_force 1", self.nodes.metrics(leader))
        self.emulator.end_evacuation("zone-1")
        self.wait_for_start("zone-1")
        self.assert_all_done_once()
        events = [line["event"] for line in self.nodes.log_lines(leader)]
        for event in ("evacuation in force", "evacuation ended"):
            self.assertEqual(1, events.count(event))

    def test_leader_is_replaced_before_the_effect(self):
        """Guards against a new leader that starts tasks unaware of it."""
        self.start_load()
        leader = self.nodes.leader()
        acknowledged_s = self.emulator.evacuate("zone-1")
        self.nodes.signal(leader, signal.SIGKILL)
        self.assert_no_starts("zone-1", acknowledged_s + EVACUATE_S, 4.0)
        self.wait_for_start("zone-2")
        self.emulator.end_evacuation("zone-1")
        self.wait_for_start("zone-1")
        self.stop.set()
        self.nodes.start(leader)
        self.assert_all_done_once()

    def test_store_is_silent_when_it_is_requested(self):
        """Guards against a leader that goes on after an outage unaware.

        It may start tasks for some seconds without the store.
        """
        self.start_load()
        self.emulator.store.fault = StoreFault.SILENT
        time.sleep(0.5)
        self.emulator.evacuate("zone-1")
        time.sleep(1.5)
        self.emulator.store.fault = StoreFault.NONE
        ended_s = time.monotonic()
        self.assert_no_starts("zone-1", ended_s + CONTACT_S)
        self.wait_for_start("zone-2")
        self.emulator.end_evacuation("zone-1")
        self.assert_all_done_once()

    def test_store_is_silent_while_it_is_in_force(self):
        """Guards against an outage that ends an evacuation."""
        self.start_load()
        acknowledged_s = self.emulator.evacuate("zone-1")
        time.sleep(EVACUATE_S)
        self.emulator.store.fault = StoreFault.SILENT
        time.sleep(2.5)
        self.emulator.store.fault = StoreFault.NONE
        self.assert_no_starts("zone-1", acknowledged_s + EVACUATE_S, 6.0)
        self.emulator.end_evacuation("zone-1")
        self.assert_all_done_once()

    def test_history_is_lost_in_between(self):
        """Guards against requests that only the lost history showed."""
        self.start_load()
        self.emulator.evacuate("zone-2")
        self.emulator.end_evacuation("zone-2")
        acknowledged_s = self.emulator.evacuate("zone-1")
        self.emulator.store.compact()
        self.assert_no_starts("zone-1", acknowledged_s + EVACUATE_S)
        self.wait_for_start("zone-2")
        self.emulator.end_evacuation("zone-1")
        self.emulator.store.compact()
        self.wait_for_start("zone-1")
        self.assert_all_done_once()

    def test_all_data_centres(self):
        """Guards against starts anywhere, and work that is lost for it."""
        self.start_load()
        for data_centre in DATA_CENTRES:
            acknowledged_s = self.emulator.evacuate(data_centre)
        time.sleep(EVACUATE_S)
        orders = len(self.emulator.orders)
        for data_centre in DATA_CENTRES:
            self.assert_no_starts(data_centre, acknowledged_s + EVACUATE_S)
        self.assertEqual(orders, len(self.emulator.orders))
        for data_centre in DATA_CENTRES:
            self.emulator.end_evacuation(data_centre)
        for data_centre in DATA_CENTRES:
            self.wait_for_start(data_centre)
        self.assert_all_done_once()

    def test_starts_without_an_answer(self):
        """Guards against late starts, and tasks that run twice for them."""
        self.start_load()
        late = [
            vm.worker
            for vm in self.emulator.vms.values()
            if vm.worker and vm.data_centre == "zone-1"
        ]
        for worker in late:
            worker.fault = WorkerFault.LATE
        time.sleep(0.5)
        acknowledged_s = self.emulator.evacuate("zone-1")
        self.assert_no_starts("zone-1", acknowledged_s + EVACUATE_S)
        for worker in late:
            worker.fault = WorkerFault.NONE
        self.emulator.end_evacuation("zone-1")
        self.assert_all_done_once()

    def test_serving_tasks_move(self):
        """Guards against serving tasks that stay, or stop all at once."""
        fields = {"long-running": True, "max-unavailable": 1}
        job_id, _ = self.nodes.submit(0, "lasting", 4, **fields)

        def active():
            return [
                entry
                for entry in self.emulator.ledger.snapshot()
                if entry.task.startswith(job_id) and entry.ended_at_s is None
            ]

        wait_until(lambda: len(active()) == 4, START_S, "all tasks run")
        time.sleep(1.0)
        self.emulator.evacuate("zone-1")
        data_centres = self.emulator.data_centre_by_worker
        least = [4]

        def have_moved():
            entries = active()
            least.append(len(entries))
            return len(entries) == 4 and all(
                data_centres[entry.worker] == "zone-2" for entry in entries
            )

        wait_until(have_moved, 30.0, "all tasks run in the other data centre")
        self.assertGreaterEqual(min(least), 3)
        self.assertEqual([], self.emulator.ledger.overlaps())
