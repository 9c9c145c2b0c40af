"""Starts real nodes against a stand-in of the platform, on loopback.

Every script of this review runs `main` of this module with a function that
plays one case. The nodes are started with the command of the deploy file, and
with settings like those of a small deployment.
"""

import http.client
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = Path(__file__).resolve().parents[2]
for each in (ROOT / "target" / "deps", ROOT):
    sys.path.insert(0, str(each))

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "queues.example"
KEYS = {"team-a": "key-a", "team-b": "key-b"}
BOUNDS = {
    "contact-ms": 3000,
    "ack-timeout-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "max-hold-ms": 10000,
    "stop-timeout-ms": 200,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "lease-ms": 3000,
    "migrate-s": 1.5,
    "maintenance-s": 2,
    "revoke-ms": 5000,
    "fencing-enforced": False,
}


def free_port(host):
    """Return a port that is free at present."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def __call__(self, text):
        with self._lock:
            at_s = time.monotonic() - self.started_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


class Node:
    """A node process."""

    def __init__(self, number, folder, store, cloud, extra):
        self.number = number
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.callers, self.ready, self.internal = (
            free_port(self.ip) for _ in range(3)
        )
        self._settings = Path(folder) / f"{self.name}.yaml"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.store, self.cloud = store, cloud
        self._extra = extra
        self._process = None
        self._is_first = True

    def start(self):
        settings = {
            "node": self.name,
            "role": "node",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen-addrs": {
                "frontend": f"{self.ip}:{self.callers}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "internal-port-range": [self.internal, self.internal],
            "bootstrap": self._is_first,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
            },
            "heartbeat-ms": 1500,
            "bounds": BOUNDS,
            "control-mode": "invoke",
            "platform": {
                "address": self.store,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "min-ttl-ms": 1000,
            },
            "cloud-api": {
                "address": self.cloud,
                "rate-per-s": 64.0,
                "duties": [],
                "duty-per-s": 64.0,
            },
            **self._extra,
        }
        self._is_first = False
        # JSON is a subset of the settings' format.
        self._settings.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ROSEMARYNOTCH_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "deploy/node.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self):
        return self._process.poll()

    def signal(self, number):
        self._process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, 0 without one."""
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [x for x in lines.splitlines() if x.startswith("VmRSS:")]
        return int(sizes[0].split()[1]) / 1024 if sizes else 0.0

    def kill(self):
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def call(self, method, path, body=None, key="key-a", timeout_s=3.0):
        """Call the node; the status is 0 without a complete answer."""
        connection = http.client.HTTPConnection(
            self.ip, self.callers, timeout=timeout_s
        )
        headers = {
            "Host": HOST,
            "Rosemarynotch-Deadline-Ms": str(round(timeout_s * 1000)),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        data = None
        if body is not None:
            data = json.dumps(body)
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()


class Nodes:
    """The nodes of a deployment."""

    def __init__(self, count, store, cloud, record, store_of=None, **extra):
        """Start nodes.

        :param store_of: returns the store's address for a node's number
        """
        self._folder = tempfile.TemporaryDirectory()
        self._record = record
        self.all = [
            Node(
                number,
                self._folder.name,
                store_of(number) if store_of else store,
                cloud,
                extra,
            )
            for number in range(1, count + 1)
        ]
        for node in self.all:
            node.start()
            record(f"node {node.name} started")

    def close(self):
        for node in self.all:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder.name, keep, dirs_exist_ok=True)
        self._folder.cleanup()

    def await_ready(self, path, timeout_s=20.0):
        """Wait until all nodes count the jobs of a queue."""
        end_s = time.monotonic() + timeout_s
        for node in self.all:
            while node.call("GET", path)[0] != 200:
                if time.monotonic() > end_s:
                    raise RuntimeError(f"{node.name} is not ready")
                time.sleep(0.1)

    def leader(self, store):
        """Return the node that leads, None if none does."""
        value = store.value("control/leader") or b""
        for node in self.all:
            if node.name.encode() in value:
                return node
        return None

    def submit(self, path, job_id, body, attempts=5, **options):
        """Hand a job in as a client does; return whether it was accepted."""
        for attempt in range(attempts):
            node = self.all[attempt % len(self.all)]
            status, _ = node.call("POST", path + job_id, body, **options)
            self._record(
                f"POST {path}{job_id} to {node.name}: {status or 'no answer'}"
            )
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False


def main(record_path, play):
    """Play a case and exit with its result.

    :param record_path: file for what was sent, answered and run
    :param play: gets the record; returns a text if the rule was broken, and
        None if it held
    """
    record = Record(record_path)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        why = play(record)
    except Exception:
        record("could not run: " + traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record(f"rule broken: {why}" if why else "rule held")
    print(f"rule broken: {why}" if why else "rule held")
    sys.exit(BROKEN if why else HELD)
