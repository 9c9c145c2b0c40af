"""Callers that submit, query and cancel jobs."""

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

__all__ = ["ADVISED_QUEUE", "Caller"]

# Queue whose starts need tickets of the advice service.
ADVISED_QUEUE = "advised"

CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
# Mean time between the jobs of a caller.
MEAN_PAUSE_S = 0.25
LONG_RUNNING_SHARE = 0.1
CANCEL_SHARE = 0.1
# Long-running jobs that a caller does not cancel; more would fill the pool.
MAX_LONG_RUNNING = 2
FAILING_SHARE = 0.05
# Longer than it takes another node to lead.
LONG_WORK_S = 3.0
# In millicores. A worker of the emulator has 8000.
CPU_CHOICES = (500, 1000, 3000)
MAX_OCCURRENCES = 4
DUE_AFTER_S = 0.5
OCCURRENCE_INTERVAL_S = 0.4
# A node that did not accept the job itself may learn of it this much later.
VISIBILITY_DELAY_S = 3.0


class Caller:
    """Sends calls from its own thread over a persistent connection.

    :param seed: seed of the random choices, such as which jobs to submit
    :param long_share: share of the jobs with tasks of LONG_WORK_S
    :param advised_share: share of the jobs on the queue with advice
    :param scheduled_share: share of the jobs with several occurrences
    """

    def __init__(
        self,
        nodes: Nodes,
        history: History,
        seed: int,
        long_share: float = 0.0,
        advised_share: float = 0.0,
        scheduled_share: float = 0.0,
    ) -> None:
        self._nodes = nodes
        self._history = history
        self._random = random.Random(seed)
        self._long_share = long_share
        self._advised_share = advised_share
        self._scheduled_share = scheduled_share
        self._stop = threading.Event()
        self._node = self._random.choice(list(nodes.addresses))
        self._connection: http.client.HTTPConnection | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop sending calls and wait for the thread to end."""
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
                self._check_state(self._random.choice(accepted))
            if accepted and self._random.random() < CANCEL_SHARE:
                self._cancel(self._random.choice(accepted))
            long_running = [
                job
                for job in accepted
                if job.is_long_running and job.cancelled_at_s is None
            ]
            for job in long_running[:-MAX_LONG_RUNNING]:
                self._cancel(job)
            self._stop.wait(self._random.expovariate(1 / MEAN_PAUSE_S))

    def _new_job(self) -> JobHistory:
        draw = self._random.random()
        is_long_running = draw < LONG_RUNNING_SHARE
        work_s = self._random.choice((0.05, 0.2, 0.6))
        is_long = self._draw(self._long_share)
        if is_long:
            work_s = LONG_WORK_S
        spec = "lasting" if is_long_running else f"work={work_s}"
        if draw > 1 - FAILING_SHARE:
            spec += " failing"
        job_id = f"{self._random.getrandbits(64):016x}"
        is_scheduled = not is_long_running and self._draw(
            self._scheduled_share
        )
        return JobHistory(
            queue=(
                ADVISED_QUEUE if self._draw(self._advised_share) else "one"
            ),
            repeat_count=MAX_OCCURRENCES if is_scheduled else 0,
            due_at_s=time.monotonic() + DUE_AFTER_S,
            interval_s=OCCURRENCE_INTERVAL_S,
            job_id=job_id,
            spec=f"{spec} {job_id}",
            team=self._random.choice(sorted(KEYS)),
            task_count=self._random.randint(1, 2 if is_long_running else 4),
            # Large ones would fill the cap of a team for the rest of the run.
            cpu_millicores=(
                CPU_CHOICES[0]
                if is_long_running or is_long
                else self._random.choice(CPU_CHOICES)
            ),
            is_long_running=is_long_running,
            sent_at_s=time.monotonic(),
        )

    def _draw(self, share: float) -> bool:
        """Decide at random; a share of 0 leaves the random state unchanged."""
        return share > 0 and self._random.random() < share

    def _submit(self, job: JobHistory) -> None:
        step = {
            "count": job.task_count,
            "cpu": job.cpu_millicores,
            "estimated-ms": 200,
        }
        if job.is_long_running:
            step |= {"long-running": True, "max-unavailable": 1}
        body = {"spec": job.spec, "steps": [step]}
        if job.repeat_count:
            due_in_s = job.due_at_s - time.monotonic()
            body |= {
                "repeat-count": job.repeat_count,
                "first-run-ms": round((time.time() + due_in_s) * 1000),
                "interval-ms": round(job.interval_s * 1000),
            }
        statuses = []
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._call("POST", job, body)
            statuses.append(status)
            if 200 <= status < 300:
                job.accepted_at_s = time.monotonic()
                return
            self._switch_node()
            self._stop.wait(RETRY_DELAY_S)
        job.is_refused = all(status in (429, 503) for status in statuses)

    def _check_state(self, job: JobHistory) -> None:
        queried_at_s = time.monotonic()
        status, body = self._call("GET", job)
        state = body.get("state", "")
        must_be_visible = queried_at_s - job.accepted_at_s > VISIBILITY_DELAY_S
        if status == 410 and must_be_visible:
            self._history.record_wrong_answer(
                f"{job.job_id}: 410 after acceptance"
            )
        if state == "completed" and job.completed_at_s is None:
            job.completed_at_s = time.monotonic()
        job.is_failed |= state == "failed"
        if state == "cancelled" and job.cancel_sent_at_s is None:
            self._history.record_wrong_answer(
                f"{job.job_id}: cancelled, but not by its caller"
            )

    def _cancel(self, job: JobHistory) -> None:
        job.cancel_sent_at_s = job.cancel_sent_at_s or time.monotonic()
        status, _ = self._call("DELETE", job)
        if status in (200, 410) and job.cancelled_at_s is None:
            job.cancelled_at_s = time.monotonic()

    def _switch_node(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._node = self._random.choice(list(self._nodes.addresses))

    def _call(
        self, method: str, job: JobHistory, body: dict | None = None
    ) -> tuple[int, dict]:
        """Call the current node.

        :returns: status and body; the status is 0 without a complete answer
        """
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._nodes.addresses[self._node], timeout=CALL_TIMEOUT_S
            )
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Token {KEYS[job.team]}",
            "Rosemarynotch-Deadline-Ms": str(round(CALL_TIMEOUT_S * 1000)),
        }
        data = None if body is None else json.dumps(body)
        try:
            self._connection.request(
                method, f"/{job.queue}/{job.job_id}", data, headers
            )
            response = self._connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException):
            self._switch_node()
            return 0, {}
