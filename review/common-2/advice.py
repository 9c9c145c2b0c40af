"""Stand-in of the platform with an advice service.

Store, VM service and workers are those of the project. Added are the advice
service, the check of tickets at the workers, and minions that crash and start
again under the identifier that they had (PROTOCOL.md, "Service discovery").
"""

import json
import random
import threading
import time

import bench  # noqa: F401  (sets the path of the project's stand-ins)
from standins.fleet import emulator as emulated
from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from standins.fleet.http import LostAnswer
from standins.fleet.ledger import Ledger
from standins.fleet.store import EmulatedStore
from standins.fleet.worker import EmulatedWorker

CAPACITY = emulated.CAPACITY
HEARTBEAT_S = 1.5
ADVISOR_FIELDS = ("decision-ms", "period-ms", "validity-ms")


class Advisor:
    """The advice service.

    :param allowed: identifiers of the minions that may run any step
    """

    # Whether the queues of the case ask for advice.
    is_used = True

    def __init__(self, record, allowed, decision_ms, period_ms, validity_ms):
        self._record = record
        self.allowed = allowed
        self._decision_ms = decision_ms
        self._period_ms = period_ms
        self._validity_ms = validity_ms
        self._lock = threading.Lock()
        self._turn = threading.Lock()
        self._waiting = 0
        self._issued = {}
        self.born = {}
        self.calls = 0
        self.server = JsonServer(self._respond)

    def _respond(self, call):
        workers = call.body["workers"]
        if call.path != "advise" or len(workers) > 100:
            return Answer(400)
        with self._lock:
            if self._waiting >= 32:
                return Answer(429)
            self._waiting += 1
        # All calls of the scripts come from one machine, the leader's.
        with self._turn:
            took_ms = self._decision_ms + self._period_ms * len(workers)
            time.sleep(took_ms / 1000)
            with self._lock:
                self._waiting -= 1
                self.calls += 1
                rows = [self._issue(call.body["step"], w) for w in workers]
        allowed = [row for row in rows if row]
        self._record(
            f"advise {call.body['step']} for {len(workers)} minions, "
            f"{sum(w in self.allowed for w in workers)} of them allowed, "
            f"answered after {took_ms:.0f} ms"
        )
        return Answer(
            200, {"allowed": allowed, "validity-ms": self._validity_ms}
        )

    def _issue(self, step, worker_id):
        if worker_id not in self.allowed or worker_id not in self.born:
            return None
        ticket = f"t{len(self._issued)}"
        until_s = time.monotonic() + self._validity_ms / 1000
        life = self.born[worker_id]
        self._issued[ticket] = (step, worker_id, life, until_s)
        return [worker_id, ticket]

    def why_refused(self, ticket, task, worker):
        """Return why a ticket is not valid, empty if it is."""
        step = task.rpartition(".")[0]
        with self._lock:
            known = self._issued.get(ticket)
        if known is None:
            return "no such ticket"
        if known[:2] != (step, worker.worker_id):
            return "of another step or minion"
        if known[2] != worker.started_unix_ms:
            return "of an earlier life of the minion"
        return "" if time.monotonic() < known[3] else "expired"


class TicketWorker(EmulatedWorker):
    """A minion that starts nothing without a valid ticket."""

    advisor = None
    record = None
    needs_ticket = True

    def _start(self, body):
        task, run = body["task"], body["run"]
        is_known = (
            task in self._runs
            or run <= self._last_ended_runs.get(task, 0)
            or not self.needs_ticket
        )
        if not is_known:
            why = self.advisor.why_refused(body.get("ticket", ""), task, self)
            if why:
                self.record(
                    f"{self.worker_id}: start of {task} run {run} refused, "
                    f"ticket {why}"
                )
                return self._refuse("ticket")
        answer = super()._start(body)
        outcome = answer.status
        if outcome == 409:
            outcome = answer.body["reason"]
        self.record(f"{self.worker_id}: start of {task} run {run}: {outcome}")
        return answer

    def _hold(self, body):
        answer = super()._hold(body)
        if not self.is_alive:
            # A crashed minion says nothing, also to a call that waited.
            raise LostAnswer
        return answer

    def _end(self, task, how):
        self.record(f"{self.worker_id}: {task} ended {how}")
        super()._end(task, how)


class AdvicePlatform:
    """Store, VM service and minions of one pool, and the advice service."""

    def __init__(self, record, advisor, pool):
        self._record = record
        self.advisor = advisor
        self._pool = pool
        self.ledger = Ledger()
        self.store = EmulatedStore()
        self.store_server = JsonServer(self.store.respond)
        self.cloud_server = JsonServer(self._respond)
        self._lock = threading.RLock()
        self.minions = {}
        self._racks = {}
        self.kinds = {}
        self._down_since_s = {}
        self._silent_until_s = {}
        self._is_closed = False
        threading.Thread(target=self._beat, daemon=True).start()

    def add(self, worker_id, rack, port=0, kind="a", lag_s=0.0):
        """Start a minion, or another life of it.

        :param lag_s: time from its start until the store has its entry
        """
        worker = TicketWorker(worker_id, self.ledger, random.Random(1), port)
        worker.advisor, worker.record = self.advisor, self._record
        worker.needs_ticket = self.advisor.is_used
        with self._lock:
            self.minions[worker_id] = worker
            self._racks[worker_id] = rack
            self.kinds[worker_id] = kind
            self._silent_until_s[worker_id] = time.monotonic() + lag_s
            self._down_since_s.pop(worker_id, None)
            self.advisor.born[worker_id] = worker.started_unix_ms
        if not lag_s:
            self._register(worker)

    def crash(self, worker_id):
        """Crash a minion; its entry stays for three heartbeat intervals."""
        with self._lock:
            worker = self.minions[worker_id]
            self._down_since_s[worker_id] = time.monotonic()
        worker.kill()
        self._record(f"{worker_id} crashed")

    def restart(self, worker_id, **options):
        """Start a crashed minion under its identifier and address."""
        port = int(self.minions[worker_id].address.rpartition(":")[2])
        self.add(worker_id, self._racks[worker_id], port, **options)
        self._record(
            f"{worker_id} is up again, another life of the minion, of kind "
            f"{self.kinds[worker_id]}"
        )

    def close(self):
        self._is_closed = True
        closing = [w.kill for w in self.minions.values() if w.is_alive]
        closing += [
            self.store_server.close,
            self.cloud_server.close,
            self.advisor.server.close,
        ]
        # Each of them takes up to half a second.
        threads = [threading.Thread(target=close) for close in closing]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _register(self, worker):
        entry = {
            "backend": self._pool,
            "address": worker.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": CAPACITY,
            "labels": [
                self.kinds[worker.worker_id],
                self._racks[worker.worker_id],
            ],
            "born": worker.started_unix_ms,
        }
        key = f"servers/{worker.worker_id}"
        self.store.put(key, json.dumps(entry).encode())

    def _beat(self):
        while not self._is_closed:
            with self._lock:
                now_s = time.monotonic()
                for worker_id, worker in self.minions.items():
                    since_s = self._down_since_s.get(worker_id)
                    if since_s is None:
                        if now_s >= self._silent_until_s[worker_id]:
                            self._register(worker)
                    elif now_s - since_s > 3 * HEARTBEAT_S:
                        self.store.delete(f"servers/{worker_id}")
            time.sleep(HEARTBEAT_S / 3)

    def _respond(self, call):
        if call.path != "machines":
            # The pool is the only one, so that no VM has to move.
            return Answer(400)
        with self._lock:
            rows = [
                {
                    "machine": f"m-{worker_id}",
                    "pool": self._pool,
                    "state": (
                        "down" if worker_id in self._down_since_s else "up"
                    ),
                    "zone": "zone-1",
                    "labels": [self.kinds[worker_id], self._racks[worker_id]],
                    "capacity": CAPACITY,
                    "id": (
                        None if worker_id in self._down_since_s else worker_id
                    ),
                }
                for worker_id in self.minions
            ]
        return Answer(200, {"machines": rows, "next-token": None})


def configuration(version, routes):
    """Return a configuration with one pool."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "one", "admission-check": True, "standby": False}
        ],
        "limits": {"header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [
            {"name": name, "api-keys": [key], "weight": 1, "cap": {}}
            for name, key in bench.KEYS.items()
        ],
    }


def route(name, prefix, advisor=None):
    """Return a route to the pool."""
    fields = {
        "name": name,
        "host": bench.HOST,
        "prefix": prefix,
        "type": "non_idempotent",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 0,
        "backend": "one",
        "attempts": 3,
        "stretch": 2.0,
        "public": False,
    }
    if advisor:
        fields["advisor"] = advisor
    return fields


class Deployment:
    """A pool of minions with advice, and nodes; a context manager.

    :param minions: names of the minions at the start, each with its rack
    :param allowed: names of those that may run the steps of all jobs
    :param fields: fields of the queue's advisor, None if it has none
    :param kinds: kinds of minions other than "a"
    """

    def __init__(self, record, minions, allowed=(), fields=None, kinds={}):
        self.advisor = Advisor(
            record,
            set(allowed),
            *(fields[name] for name in ADVISOR_FIELDS if fields),
            *(0 for _ in ADVISOR_FIELDS if not fields),
        )
        self.advisor.is_used = fields is not None
        self._kinds = kinds
        self.platform = AdvicePlatform(record, self.advisor, "one")
        self._record, self._minions, self._fields = record, minions, fields
        self.nodes = None

    def __enter__(self):
        for name, rack in self._minions.items():
            kind = self._kinds.get(name, "a")
            self.platform.add(name, rack, kind=kind)
        document = configuration(1, [route("r-one", "/one/", self._fields)])
        self.platform.store.put("op/config", json.dumps(document).encode())
        self.nodes = bench.Nodes(
            3,
            self.platform.store_server.address,
            self.platform.cloud_server.address,
            self._record,
            advisor=self.advisor.server.address,
        )
        self.nodes.await_ready("/one/")
        # Long enough for a leader to hear all minions.
        time.sleep(2.0)
        return self

    def __exit__(self, *_):
        if self.nodes is not None:
            self.nodes.close()
        self.platform.close()

    def submit(self, job_id, spec, **step):
        """Hand in a job with one step."""
        fields = {"count": 2, "cpu": 1000, "mem-mb": 256, "estimated-ms": 500}
        body = {"spec": spec, "steps": [fields | step]}
        if not self.nodes.submit("/one/", job_id, body):
            raise RuntimeError(f"job {job_id} was not accepted")

    def state(self, job_id):
        """Return the state of a job as a client sees it."""
        status, body = self.nodes.all[0].call("GET", f"/one/{job_id}")
        self._record(f"GET /one/{job_id}: {status} {body}")
        return body.get("state", str(status))

    def longest_gap_s(self, job_id, since_s, until_s):
        """Return the longest time in which nothing of a job ran."""
        runs = sorted(
            (entry.started_at_s, entry.ended_at_s or until_s)
            for entry in self.platform.ledger.snapshot()
            if entry.task.startswith(job_id)
        )
        gap_s, covered_s = 0.0, since_s
        for start_s, end_s in runs:
            if start_s > until_s:
                break
            gap_s = max(gap_s, start_s - covered_s)
            covered_s = max(covered_s, end_s)
        return max(gap_s, until_s - covered_s)
