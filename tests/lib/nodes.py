"""Node processes that run against the emulator of the platform."""

import http.client
import json
from pathlib import Path
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import uuid

import yaml

from demo.processes import free_ports
from standins.fleet import Emulator

__all__ = ["configuration", "HOST", "KEYS", "Nodes", "wait_until"]

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
QUEUE_HOST = "queues.example"
KEYS = {"team-a": "key-a", "team-b": "key-b"}
CALL_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.05


def configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with a queue for each of two pools."""
    document = {
        "version": version,
        "routes": [
            {
                "name": f"queue-{pool}",
                "host": QUEUE_HOST,
                "prefix": f"/{pool}/",
                "type": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                "priority": 0,
                "backend": pool,
                "attempts": 3,
                "stretch": 2.0,
                "public": False,
            }
            for pool in ("one", "two")
        ],
        "services": [
            {"name": "one", "admission-check": True, "standby": False},
            {"name": "two", "admission-check": True, "standby": False},
            {"name": "spare", "admission-check": True, "standby": True},
        ],
        "limits": {"header-timeout-ms": 500, "idle-timeout-ms": 5000},
        "tenants": [
            {"name": name, "api-keys": [key], "weight": 1, "cap": {}}
            for name, key in KEYS.items()
        ],
    }
    document.update(changes)
    return document


def wait_until(condition, timeout_s: float, description: str) -> None:
    """Poll until a condition holds.

    :param description: names the condition in the error message
    :raises AssertionError: if it does not hold in time
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError(
                f"not reached within {timeout_s} s: {description}"
            )
        time.sleep(POLL_INTERVAL_S)


class Nodes:
    """Starts, signals and calls node processes.

    :param count: number of nodes to start
    :param bounds: settings of the section ``bounds`` beside the usual ones
    """

    def __init__(
        self, emulator: Emulator, count: int, bounds: dict | None = None
    ) -> None:
        self._emulator = emulator
        self._bounds = bounds or {}
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[int, subprocess.Popen] = {}
        self.addresses: dict[int, str] = {}
        self._ports = {n: free_ports(3) for n in range(count)}
        for number in range(count):
            self.start(number)

    def log_lines(self, number: int) -> list[dict]:
        """Return the log lines of a node."""
        text = self._log_path(number).read_text(encoding="utf-8")
        lines = []
        for line in text.splitlines():
            if line.startswith("{"):
                lines.append(json.loads(line))
        return lines

    def _log_path(self, number: int) -> Path:
        return Path(self._folder.name) / f"node-{number}.log"

    def start(self, number: int) -> None:
        """Start a node."""
        callers, probe, metrics = self._ports[number]
        self.addresses[number] = f"{HOST}:{callers}"
        settings = {
            "node": f"node-{number}",
            # Nodes of a test listen for callers on the same loopback address.
            # Their identity on the platform, the "ip", must differ.
            "ip": f"127.0.0.{number + 1}",
            "zone": "zone-1",
            "listen-addrs": {
                "frontend": f"{HOST}:{callers}",
                "ready": f"{HOST}:{probe}",
            },
            "internal-port-range": [metrics, metrics],
            "bounds": {
                "lease-ms": 300,
                "maintenance-s": 0.5,
                "grace-s": 6,
                **self._bounds,
            },
            "platform": {"address": self.store_address(number)},
            "cloud-api": {"address": self._emulator.cloud_server.address},
            "future-field": 1,
        }
        self.write_settings(f"node-{number}", settings)
        with self._log_path(number).open("ab") as log:
            self._processes[number] = subprocess.Popen(
                self.command(),
                env=self.environment(number),
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def ports(self, number: int) -> list[int]:
        """Return the ports of callers, of probes and of metrics."""
        return self._ports[number]

    def write_settings(self, name: str, settings: dict) -> Path:
        """Write a settings file and return its path."""
        path = Path(self._folder.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path

    @property
    def folder(self) -> Path:
        """Return the folder of settings and logs."""
        return Path(self._folder.name)

    def store_address(self, number: int) -> str:
        """Return the address of the store for a node."""
        return self._emulator.store_server.address

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of all nodes to a folder."""
        for number in self._processes:
            shutil.copy(self._log_path(number), folder)

    def command(self) -> list[str]:
        """Return the command that starts a node."""
        return [sys.executable, str(ROOT / "deploy" / "node.py")]

    def environment(self, number: int) -> dict[str, str]:
        """Return the environment of a node."""
        path = Path(self._folder.name) / f"node-{number}.yaml"
        return {"ROSEMARYNOTCH_CONFIG": str(path)}

    def metrics(self, number: int) -> str:
        """Return the metrics of a node in the exposition format."""
        port = self._ports[number][2]
        host = f"127.0.0.{number + 1}"
        connection = http.client.HTTPConnection(
            host, port, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def signal(self, number: int, sig: signal.Signals) -> None:
        """Send a signal to a node."""
        self._processes[number].send_signal(sig)

    def wait(self, number: int, timeout_s: float = 8.0) -> int:
        """Wait for the exit of a node and return its status."""
        return self._processes[number].wait(timeout_s)

    def close(self) -> None:
        """Kill all nodes."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._folder.cleanup()

    def leader(self) -> int | None:
        """Return the number of the leader, None without a leader."""
        value = self._emulator.store.value("control/leader")
        if value is None:
            return None
        for number in self._processes:
            if f"node-{number}".encode() in value:
                return number
        return None

    def call(
        self, number: int, method: str, path: str, body=None, key="key-a"
    ) -> tuple[int, dict]:
        """Call a node; the status is 0 if there is no complete answer.

        :param key: None for a call without a key
        """
        connection = http.client.HTTPConnection(
            self.addresses[number], timeout=CALL_TIMEOUT_S
        )
        headers = {"Host": QUEUE_HOST}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        data = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException):
            return 0, {}
        finally:
            connection.close()

    def is_ready(self, number: int) -> bool:
        """Return whether a node accepts requests."""
        status, _ = self.call(number, "GET", "/one/")
        return status == 200

    def submit(
        self, number: int, spec: str = "work=0.1", count: int = 3, **step
    ) -> tuple[str, int]:
        """Submit a job with one step; return its id and the status."""
        job_id = uuid.uuid4().hex[:16]
        body = {
            "spec": spec,
            "steps": [
                {"count": count, "cpu": 500, "estimated-ms": 100, **step}
            ],
        }
        status, _ = self.call(number, "POST", f"/one/{job_id}", body)
        return job_id, status

    def state(self, number: int, job_id: str) -> str:
        """Return the state of a job, or the status of the call."""
        status, body = self.call(number, "GET", f"/one/{job_id}")
        return body.get("state", str(status))
