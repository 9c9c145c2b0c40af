"""Callers that submit, ask for and cancel jobs."""

import http.client
import json
import random
import threading
import time

from soak.history import History
from soak.history import JobHistory
from tests.lib.nodes import KEYS
from tests.lib.nodes import Nodes
from tests.lib.nodes import QUEUE_HOST

__all__ = ["Caller"]

CALL_S = 3.0
MAX_ATTEMPTS = 5
RETRY_S = 0.2
# A caller sends its next job after a pause of this mean length.
PAUSE_S = 0.25
LASTING_SHARE = 0.1
CANCEL_SHARE = 0.1
# Lasting jobs that a caller leaves uncancelled; more would fill the pool.
MAX_LASTING = 2
FAILING_SHARE = 0.05
# A worker of the emulator has 8,000 millicores.
CPU_CHOICES = (500, 1000, 3000)
# A state may be asked of a node that learns of the job a little later.
VISIBLE_S = 3.0


class Caller:
    """One caller: a thread with a connection that it keeps.

    :param seed: decides what is submitted
    """

    def __init__(self, nodes: Nodes, history: History, seed: int) -> None:
        self._nodes = nodes
        self._history = history
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._node = self._random.choice(list(nodes.addresses))
        self._connection: http.client.HTTPConnection | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send no more jobs, and wait for the last answer."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        accepted: list[JobHistory] = []
        while not self._stop.is_set():
            job = self._new_job()
            self._history.add(job)
            self._submit(job)
            if job.accepted_at_s is not None:
                accepted.append(job)
            if accepted:
                self._ask(self._random.choice(accepted))
            if accepted and self._random.random() < CANCEL_SHARE:
                self._cancel(self._random.choice(accepted))
            lasting = [
                job
                for job in accepted
                if job.is_lasting and job.cancelled_at_s is None
            ]
            for job in lasting[:-MAX_LASTING]:
                self._cancel(job)
            self._stop.wait(self._random.expovariate(1 / PAUSE_S))

    def _new_job(self) -> JobHistory:
        chance = self._random.random()
        is_lasting = chance < LASTING_SHARE
        work_s = self._random.choice((0.05, 0.2, 0.6))
        spec = "lasting" if is_lasting else f"work={work_s}"
        if chance > 1 - FAILING_SHARE:
            spec += " failing"
        job_id = f"{self._random.getrandbits(64):016x}"
        return JobHistory(
            job_id=job_id,
            spec=f"{spec} {job_id}",
            team=self._random.choice(sorted(KEYS)),
            task_count=self._random.randint(1, 2 if is_lasting else 4),
            cpu_millicores=(
                CPU_CHOICES[0]
                if is_lasting
                else self._random.choice(CPU_CHOICES)
            ),
            is_lasting=is_lasting,
            sent_at_s=time.monotonic(),
        )

    def _submit(self, job: JobHistory) -> None:
        step = {
            "count": job.task_count,
            "cpu": job.cpu_millicores,
            "estimated-ms": 200,
        }
        if job.is_lasting:
            step |= {"long-running": True, "max-unavailable": 1}
        body = {"spec": job.spec, "steps": [step]}
        statuses = []
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._call("POST", job, body)
            statuses.append(status)
            if 200 <= status < 300:
                job.accepted_at_s = time.monotonic()
                return
            self._change_node()
            self._stop.wait(RETRY_S)
        job.is_refused = all(status in (429, 503) for status in statuses)

    def _ask(self, job: JobHistory) -> None:
        asked_at_s = time.monotonic()
        status, body = self._call("GET", job)
        state = body.get("state", "")
        is_old = asked_at_s - job.accepted_at_s > VISIBLE_S
        if status == 410 and is_old:
            self._history.note_wrong(f"{job.job_id}: 410 after acceptance")
        if state == "completed" and job.completed_at_s is None:
            job.completed_at_s = time.monotonic()
        job.is_failed |= state == "failed"
        if state == "cancelled" and job.cancel_sent_at_s is None:
            self._history.note_wrong(f"{job.job_id}: cancelled without cause")

    def _cancel(self, job: JobHistory) -> None:
        job.cancel_sent_at_s = job.cancel_sent_at_s or time.monotonic()
        status, _ = self._call("DELETE", job)
        if status in (200, 410) and job.cancelled_at_s is None:
            job.cancelled_at_s = time.monotonic()

    def _change_node(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._node = self._random.choice(list(self._nodes.addresses))

    def _call(
        self, method: str, job: JobHistory, body: dict | None = None
    ) -> tuple[int, dict]:
        """Make a call; the status is 0 without a whole answer."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._nodes.addresses[self._node], timeout=CALL_S
            )
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Token {KEYS[job.team]}",
            "Rosemarynotch-Deadline-Ms": str(round(CALL_S * 1000)),
        }
        data = None if body is None else json.dumps(body)
        try:
            self._connection.request(
                method, f"/one/{job.job_id}", data, headers
            )
            response = self._connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException):
            self._change_node()
            return 0, {}
