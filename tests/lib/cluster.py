"""Entry and control processes on stand-ins, for tests of failures.

The stand-ins run in the test process, so that tests can read their ledgers
and inject faults directly. Each product process uses a separate port of
the platform stand-in, so that it can be cut off alone.
"""

import concurrent.futures
import contextlib
import functools
import http.client
import json
import os
from pathlib import Path
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid

import attrs

from demo.processes import free_ports
from rosemarynotch._internal.commands.session import Session
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.document import WaveSpec
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.keys import format_setting
from rosemarynotch._internal.reference.records import CONFIG_KEY
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import LIMITS_PREFIX
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import SystemClock
from standins.faults import AnswerLost
from standins.platform import Platform
from standins.serving import PlatformServer
from standins.serving import serve_in_thread
from standins.target_server import TargetProcess
from standins.vms import Vm
from tests.lib.peer_links import PeerLinks
from tests.lib.stores import MemoryStore

__all__ = ["Cluster", "OPERATORS", "Outcome", "wait_until"]

ROOT = Path(__file__).parent.parent.parent
HOST = "127.0.0.1"
THREADS = 48
# Ends a test that hangs; no check depends on elapsed time.
WAIT_S = 60.0
POLL_S = 0.05
LOG_TAIL_CHARACTERS = 2_000
LONGEST_RUN_MS = 3_000
# Long enough for requests that queue during a fault to run after it.
DEADLINE_MS = 20_000
SLOTS = 4
OPERATORS = ("anna", "bert", "cleo")
WORKERS = 2
WORKER_CORES = 8
WORKER_MEMORY_MB = 8_192
# A VM without an address does not join its pool. Nothing connects to the
# address of a worker.
UNUSED_ADDRESS = "127.0.0.1:9"


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of one request as its caller saw it.

    :ivar status: HTTP status, 0 if the connection failed
    :ivar ran: whether the request ran according to the answer, "" if the
        answer does not say
    """

    request_id: str
    status: int
    body: bytes
    ran: str
    method: str = "POST"

    @property
    def is_answered(self) -> bool:
        """Return whether this is the complete answer to this request."""
        has_own_body = self.body == self.request_id.encode() + b"\n"
        return self.status == 200 and has_own_body

    @property
    def code(self) -> str:
        """Return the code of a refusal, "" for other answers."""
        return json.loads(self.body)["code"] if self.ran else ""


def wait_until(condition, description: str):
    """Poll a condition and return its first true result.

    :param description: names the condition in the error message
    """
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError(f"not reached: {description}")


class Cluster:
    """Entry and control processes with a pool of targets and one of workers.

    :param teams: limits of running requests by team
    :param entries: number of entry processes
    :param controls: number of control processes
    :param vms: number of targets, unless ``racks`` is given
    :param longest_run_ms: longest run time of requests in the document
    :param racks: rack of each target, by default a separate rack each
    :param spare_vms: number of targets that may be unavailable at the same
        time under the availability budget
    :param control: module that is run as control process
    :param has_links: whether members reach each other through
        :class:`PeerLinks`
    """

    def __init__(
        self,
        teams: dict[str, int],
        entries: int = 3,
        controls: int = 1,
        vms: int = 3,
        longest_run_ms: int = LONGEST_RUN_MS,
        racks: tuple[str, ...] = (),
        spare_vms: int = 1,
        control: str = "rosemarynotch._internal.cli.control",
        has_links: bool = False,
    ) -> None:
        # When a process was last sent a signal.
        self.signalled_at_s: dict[str, float] = {}
        self.names = [f"entry-{n}" for n in range(1, entries + 1)]
        self.control_names = [f"control-{n}" for n in range(1, controls + 1)]
        self.keys: dict[str, str] = {}
        self._operators = {name: make_key(name, "k") for name in OPERATORS}
        self.targets = TargetProcess(slots=SLOTS)
        self._processes: dict[str, subprocess.Popen] = {}
        self._callers: dict[str, str] = {}
        self._temporary_logs = tempfile.TemporaryDirectory()
        self._logs = Path(
            os.environ.get("CLUSTER_LOGS", self._temporary_logs.name)
        )
        self._control = control
        racks = racks or tuple(f"r{number}" for number in range(vms))
        self.document = self._make_document(
            teams, racks, spare_vms, longest_run_ms
        )
        self.platform = Platform(self._make_vms(), reboot_ms=100)
        self.store = MemoryStore(self.platform.store)
        self.records = RecordStore(self.store, SystemClock(), random.Random(7))
        members = self.names + self.control_names
        self._server = PlatformServer(
            self._handle_request, [f"{HOST}:0"] * len(members), THREADS
        )
        ports = [int(port) for port in self._server.ports]
        self._ports = dict(zip(members, ports, strict=True))
        self.links = None
        if has_links:
            self.links = PeerLinks(
                self.platform,
                dict(zip(ports, members, strict=True)),
                {name: self._address(name, "peer") for name in members},
            )
        serve_in_thread(self._server)

    def _handle_request(self, environ, start_response):
        return (self.links or self.platform)(environ, start_response)

    def __enter__(self):
        try:
            self.apply(self.document)
            for name in self.names + self.control_names:
                self.start(name)
            wait_until(self._is_ready, "all entries serve")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for name, process in self._processes.items():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._server.close()
        if self.links:
            self.links.close()
        self.targets.close()
        self._temporary_logs.cleanup()

    def apply(self, document: Document) -> int:
        """Apply a document as an operator's change; return its version."""
        changes = ConfigChanges(self.records, SystemClock(), "test")
        pointer = changes.pointer()
        change = Change(
            change_id=uuid.uuid4().hex,
            operator="test",
            reason="test",
            expected_version=pointer.current.version if pointer else 0,
        )
        accepted = changes.apply(document, change)
        self.document = document
        return accepted.version

    def start(self, name: str) -> None:
        """Start a process, for the first time or again."""
        is_entry = name in self.names
        entry = "rosemarynotch._internal.cli.entry"
        platform = f"{HOST}:{self._ports[name]}"
        flags = {
            "name": name,
            "vm": f"vm-{name}",
            "data-centre": "Gent",
            "store": platform,
            "vm-service": platform,
            "task-service": platform,
            "peer-listen": self._address(name, "peer"),
        }
        if is_entry:
            keys = [
                format_setting(name, spec)
                for name, (_, spec) in self._operators.items()
            ]
            flags |= {
                "caller-listen": self._address(name, "caller"),
                "operator-listen": self._address(name, "operator"),
                "operator-keys": ",".join(keys),
                "caller-threads": 64,
                "balancer-notice-s": 0.1,
            }
        arguments = [f"--{flag}={value}" for flag, value in flags.items()]
        with self._log(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    entry if is_entry else self._control,
                    *arguments,
                ],
                env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)
        self.signalled_at_s[name] = time.monotonic()

    def process(self, name: str) -> subprocess.Popen:
        """Return the process of a member."""
        return self._processes[name]

    def caller_address(self, name: str) -> str:
        """Return the address at which an entry serves callers."""
        return self._address(name, "caller")

    def operator_address(self, name: str) -> str:
        """Return the address at which an entry serves operators."""
        return self._address(name, "operator")

    def peer_address(self, name: str) -> str:
        """Return the address at which a member serves its peers."""
        return self._address(name, "peer")

    def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        return self._processes[name].wait(WAIT_S)

    def cut_store(self, *names: str, is_cut: bool = True) -> None:
        """Cut some processes, by default all, off from the store.

        :param is_cut: False to end the outage
        """
        outage = "drop" if is_cut else "up"
        for name in names or self._ports:
            self.platform.faults.change({"store": outage}, self._ports[name])

    def lose_answers(
        self, *names: str, store: int = 0, services: int = 0
    ) -> None:
        """Lose answers of the platform to some processes.

        :param store: number of the next store writes without an answer
        :param services: number of the next operations of the VM and task
            services without an answer
        """
        lost = {"lost_answers": store, "lost_service_answers": services}
        for name in names:
            self.platform.faults.change(lost, self._ports[name])

    def disturb_config(self, cut_ms: int = 1_500) -> list[int]:
        """Lose answers to writes of the configuration from now on.

        The answer to every second write is lost. After every sixth write
        the store is also unavailable for ``cut_ms``, so that the writer
        cannot find out whether the write took effect.

        :returns: a list to which the versions written are appended
        """
        put = self.platform.store.put
        written: list[int] = []

        def put_and_disturb(key, value, expected, lease=""):
            revision = put(key, value, expected, lease)
            if key == CONFIG_KEY:
                pointer = codec.decode(value, ConfigPointer)
                written.append(pointer.current.version)
                if len(written) % 6 == 0:
                    self.cut_store()
                    restore = functools.partial(self.cut_store, is_cut=False)
                    threading.Timer(cut_ms / 1000, restore).start()
                if len(written) % 2 == 0:
                    raise AnswerLost
            return revision

        self.platform.store.put = put_and_disturb
        return written

    def watch_fleet(self) -> list[FleetRecord]:
        """Return a list to which fleet records are appended when written."""
        put = self.platform.store.put
        written: list[FleetRecord] = []

        def put_and_record(key, value, expected, lease=""):
            revision = put(key, value, expected, lease)
            if key == FLEET_KEY:
                record = codec.decode_compressed(value, FleetRecord)
                written.append(record)
            return revision

        self.platform.store.put = put_and_record
        return written

    def publish_refusing_peer_address(self, name: str) -> None:
        """Publish a peer address of a member that refuses connections."""
        refused = f"{HOST}:{self._port(name, 'refused')}"

        def change(record: MembersRecord) -> MembersRecord:
            member = attrs.evolve(record.members[name], peer_address=refused)
            return attrs.evolve(
                record, members={**record.members, name: member}
            )

        written = self.records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), change
        )
        self.records.bump_head(members_revision=written.revision)

    def holders(self, team: str) -> set[str]:
        """Return the members that hold a portion of a team's limit."""
        record = self.records.read(f"{LIMITS_PREFIX}{team}", LimitRecord)
        return set(record.value.portions)

    def portion(self, name: str, team: str) -> int:
        """Return a member's portion of a team's limit in the store."""
        record = self.records.read(f"{LIMITS_PREFIX}{team}", LimitRecord)
        return record.value.portions.get(name, 0)

    def fleet(self) -> FleetRecord:
        """Return the fleet record in the store."""
        return self.records.read(FLEET_KEY, FleetRecord, compressed=True).value

    def send(
        self,
        entry: str,
        team: str,
        work_ms: int = 0,
        method: str = "POST",
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send one request and return its outcome.

        ``ran`` is "no" if the connection was refused and "unknown" if it
        broke.
        """
        request_id = uuid.uuid4().hex
        request_headers = {
            "Authorization": f"Bearer {key or self.keys[team]}",
            "X-request-id": request_id,
            "X-work-ms": str(work_ms),
            "Rosemarynotch-Deadline-Ms": str(DEADLINE_MS),
            **(headers or {}),
        }
        connection = http.client.HTTPConnection(
            self._callers[entry], timeout=WAIT_S
        )
        try:
            connection.request(method, "/s/pool/work", b"x", request_headers)
            answer = connection.getresponse()
            return Outcome(
                request_id=request_id,
                status=answer.status,
                body=answer.read(),
                ran=answer.headers.get("Rosemarynotch-Ran", ""),
                method=method,
            )
        except (OSError, http.client.HTTPException) as error:
            refused = isinstance(error, ConnectionRefusedError)
            return Outcome(
                request_id=request_id,
                status=0,
                body=b"{}",
                ran="no" if refused else "unknown",
                method=method,
            )
        finally:
            connection.close()

    def session(self, operator: str, entry: str) -> Session:
        """Return an operator's session with one entry."""
        key, _ = self._operators[operator]
        return Session(self._address(entry, "operator"), key)

    def call_jobs(
        self, entry: str, team: str, path: str = "", body: dict | None = None
    ) -> dict:
        """Submit a job, or read the state of a job if there is no body."""
        connection = http.client.HTTPConnection(
            self._callers[entry], timeout=WAIT_S
        )
        headers = {
            "Authorization": f"Bearer {self.keys[team]}",
            "Rosemarynotch-Queue": "workers",
        }
        method = "GET" if body is None else "POST"
        data = None if body is None else json.dumps(body)
        with contextlib.closing(connection):
            connection.request(method, f"/v1/jobs{path}", data, headers)
            return json.loads(connection.getresponse().read())

    @contextlib.contextmanager
    def load(self, requests: list[tuple], workers: int = 48):
        """Send requests in the background while the context is open.

        Leaving the context waits for all answers and adds the outcomes to
        the list that it yields.

        :param requests: arguments of :meth:`send` for each request
        :param workers: number of requests sent at the same time
        """
        outcomes: list[Outcome] = []
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            futures = [pool.submit(self.send, *each) for each in requests]
            try:
                yield outcomes
            finally:
                outcomes += [future.result() for future in futures]

    def runs(self) -> dict[str, int]:
        """Return how often each request ran."""
        return self.targets.ledger.show()["runs_by_id"]

    def peak_running(self) -> dict[str, int]:
        """Return the peak number of running requests by team."""
        return self.targets.ledger.show()["max_running_by_team"]

    def interrupted(self) -> int:
        """Return the number of requests interrupted on targets."""
        rows = self.targets.ledger.show()["requests"]
        return sum(row.interrupted for row in rows)

    def _make_document(
        self,
        teams: dict[str, int],
        racks: tuple[str, ...],
        spare_vms: int,
        longest_run_ms: int,
    ) -> Document:
        specs = []
        for name, limit in teams.items():
            self.keys[name], spec = make_key(name, "k1")
            specs.append(
                TeamSpec(
                    name=name, share=1, limit_requests=limit, keys=(spec,)
                )
            )
        pool = PoolSpec(
            name="pool",
            kind=PoolKind.SERVICE,
            min_available_vms=len(racks) - spare_vms,
            vms=tuple(
                VmSpec(
                    name=f"target-{number}",
                    data_centre="Gent",
                    rack=rack,
                    slots=SLOTS,
                )
                for number, rack in enumerate(racks)
            ),
        )
        workers = PoolSpec(
            name="workers",
            kind=PoolKind.WORKERS,
            min_available_vms=1,
            vms=tuple(
                VmSpec(
                    name=f"worker-{number}",
                    data_centre="Gent",
                    rack=f"w{number}",
                    cores=WORKER_CORES,
                    memory_mb=WORKER_MEMORY_MB,
                )
                for number in range(WORKERS)
            ),
        )
        queues = tuple(
            QueueSpec(name=name, pool=name, longest_run_ms=longest_run_ms)
            for name in ("pool", "workers")
        )
        return Document(
            pools=(pool, workers),
            teams=tuple(specs),
            queues=queues,
            waves=(WaveSpec(name="wave", pools=("pool",)),),
        )

    def _make_vms(self) -> list[Vm]:
        vms = [Vm(f"vm-{n}") for n in self.names + self.control_names]
        for spec in self.document.pools[0].vms:
            target = self.targets.add(f"{HOST}:0")
            vm = Vm(
                spec.name,
                address=target.address,
                data_centre=spec.data_centre,
                rack=spec.rack,
            )
            vms.append(vm)
        for spec in self.document.pools[1].vms:
            vm = Vm(
                spec.name,
                address=UNUSED_ADDRESS,
                cores=spec.cores,
                memory_mb=spec.memory_mb,
            )
            vms.append(vm)
        return vms

    def _address(self, name: str, use: str) -> str:
        """Return a loopback address that is the same after a restart."""
        if use != "caller":
            return f"{HOST}:{self._port(name, use)}"
        address = f"{HOST}:{self._port(name, use)}"
        self._callers[name] = address
        return address

    def _port(self, name: str, use: str) -> int:
        ports = self.__dict__.setdefault("_fixed_ports", {})
        if (name, use) not in ports:
            ports[name, use] = free_ports(1)[0]
        return ports[name, use]

    def _log(self, name: str) -> Path:
        return self._logs / f"{name}.log"

    def _is_ready(self) -> bool:
        for name, process in self._processes.items():
            if process.poll() is not None:
                log = self._log(name).read_text()[-LOG_TAIL_CHARACTERS:]
                raise AssertionError(f"{name} exited during start-up:\n{log}")
        team = next(iter(self.keys))
        return all(self.send(name, team).is_answered for name in self.names)
