"""Tests of cancellations while the store carries out writes late."""

import threading
import time
from unittest import mock
import uuid

from standins.fleet import store
from standins.fleet.store import StoreFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import wait_until

# The write of the job is carried out this long after it was sent.
LATE_WRITE_S = 2.0
# Writes are lost for this long after the job was submitted.
OUTAGE_S = 1.0
# The platform allows starts for this time after the acknowledgement.
CANCEL_S = 3.0
# The last step of the job starts after two others have worked this long.
STEP_WORK_S = 2.0


class TestLateSubmission(PlatformCase):
    """Guards against a job that runs after it was cancelled (rule UNASKED).

    The cancellation overtakes the write of its job, which the store carries
    out late and the node repeats.
    """

    def test_cancellation_overtakes_the_job(self):
        delays_s = (LATE_WRITE_S, LATE_WRITE_S)
        patch = mock.patch.object(store, "LATE_WRITE_DELAY_S", delays_s)
        patch.start()
        self.addCleanup(patch.stop)
        path = f"/one/{uuid.uuid4().hex[:16]}"
        step = {"count": 1, "cpu": 500, "estimated-ms": 1000 * STEP_WORK_S}
        steps = [step, {**step, "after": [0]}, {**step, "after": [1]}]
        body = {"spec": f"work={STEP_WORK_S}", "steps": steps}
        self.emulator.store.fault = StoreFault.LATE
        caller = threading.Thread(
            target=self.nodes.call, args=(0, "POST", path, body)
        )
        caller.start()
        sound = threading.Timer(OUTAGE_S, self.end_outage)
        sound.start()
        time.sleep(OUTAGE_S / 2)
        wait_until(
            lambda: self.nodes.call(1, "DELETE", path)[0] in (200, 410),
            START_S,
            "the cancellation is acknowledged",
        )
        acknowledged_s = time.monotonic()
        caller.join()
        time.sleep(2 * STEP_WORK_S + LATE_WRITE_S)
        late = [
            entry
            for entry in self.emulator.ledger.snapshot()
            if entry.started_at_s > acknowledged_s + CANCEL_S
        ]
        self.assertEqual([], late)
        # After the outage, the job may be stored before its cancellation.
        self.assertIn(self.nodes.state(0, path[5:]), ("410", "cancelled"))

    def end_outage(self):
        self.emulator.store.fault = StoreFault.NONE
