"""Runs both example environments, one after the other.

For each environment, starts stand-ins, three entries and three control
processes, puts the example document in force, replays the trace during a
maintenance wave, prints the history of one job and the report, and stops
everything. Exits with 0 only if all checks passed.
"""

from pathlib import Path
import subprocess
import sys
import tempfile
import threading
import time

import msgspec

from demo.checks import check_fleet
from demo.checks import check_requests
from demo.drain_watch import DrainWatch
from demo.environment import ENTRY_VMS
from demo.environment import Environment
from demo.environment import prepare
from demo.job_checks import check_jobs
from demo.job_checks import check_limits
from demo.job_checks import describe_job
from demo.processes import call
from demo.processes import free_ports
from demo.processes import module
from demo.processes import Processes
from demo.processes import program
from demo.processes import run_program

__all__ = ["main"]

ENVIRONMENTS = ("kochi", "flanders")
OPERATOR = "demo"
REASON = "demonstration"
WAVE = "weekly"
WAVE_DELAY_S = 2.0
WAVE_TIMEOUT_S = 90.0
WAVE_POLL_S = 1.0
FLEET_TIMEOUT_S = 30.0
FLEET_POLL_S = 0.2
MAX_TARGETS = 64
SLOTS = 3
REBOOT_MS = 500
LIST_LAG_MS = 500
DATA_CENTRE = "demo"
LOG_LINES = 12
# Short, since there is no load balancer that has to notice the failing health
# probe.
BALANCER_NOTICE_S = 0.5


class Demonstration:
    """An example environment and its processes.

    :param directory: directory for files and logs
    """

    def __init__(self, name: str, directory: Path) -> None:
        ports = iter(free_ports(MAX_TARGETS + 16))
        self._admin_port = next(ports)
        self._platform = f"127.0.0.1:{next(ports)}"
        self._caller_ports = [next(ports) for _ in ENTRY_VMS]
        self._operator_ports = [next(ports) for _ in ENTRY_VMS]
        self._peer_ports = [next(ports) for _ in range(2 * len(ENTRY_VMS))]
        self._directory = directory
        self._processes = Processes(directory)
        self._environment: Environment = prepare(
            name, directory, list(ports), self._admin_port
        )
        operator_key = self._command("operator-key", OPERATOR, session=False)
        self._operator_key = operator_key["key"]
        self._operator_setting = operator_key["setting"]

    def run(self) -> list[str]:
        """Run the environment and return the problems found."""
        try:
            self._start()
            self._apply()
            problems = self._replay()
            self._show("report")
        finally:
            statuses = self._processes.stop("entry")
            statuses |= self._processes.stop("control")
            self._processes.stop()
        for name, status in statuses.items():
            if status:
                problems.append(f"{name} exited with {status}")
        return problems

    def _start(self) -> None:
        targets = self._environment.target_ports.values()
        self._processes.start(
            "targets",
            module("standins.target"),
            listen=",".join(f"127.0.0.1:{port}" for port in targets),
            admin_listen=f"127.0.0.1:{self._admin_port}",
            slots=SLOTS,
        )
        self._processes.start(
            "platform",
            module("standins.platform"),
            listen=self._platform,
            fleet=self._environment.fleet_file,
            reboot_ms=REBOOT_MS,
            list_lag_ms=LIST_LAG_MS,
        )
        port = int(self._platform.rpartition(":")[2])
        self._processes.wait_for_port("platform", port)
        self._processes.wait_for_port("targets", self._admin_port)
        for number, vm in enumerate(ENTRY_VMS):
            self._start_product(number, vm)
        for number, port in enumerate(self._operator_ports):
            self._processes.wait_for_port(f"entry-{number + 1}", port)

    def _start_product(self, number: int, vm: str) -> None:
        common = {
            "store": self._platform,
            "vm_service": self._platform,
            "task_service": self._platform,
            "vm": vm,
            "data_centre": DATA_CENTRE,
        }
        peers = self._peer_ports[2 * number :]
        self._processes.start(
            f"entry-{number + 1}",
            program("rosemarynotch-entry"),
            name=f"entry-{number + 1}",
            caller_listen=f"127.0.0.1:{self._caller_ports[number]}",
            operator_listen=f"127.0.0.1:{self._operator_ports[number]}",
            peer_listen=f"127.0.0.1:{peers[0]}",
            operator_keys=self._operator_setting,
            environment=self._environment.name,
            is_trial=True,
            balancer_notice_s=BALANCER_NOTICE_S,
            **common,
        )
        self._processes.start(
            f"control-{number + 1}",
            program("rosemarynotch-control"),
            name=f"control-{number + 1}",
            peer_listen=f"127.0.0.1:{peers[1]}",
            **common,
        )

    def _apply(self) -> None:
        """Put the document in force, then give and withdraw one key."""
        document = self._environment.document
        self._change("try", str(self._environment.document_file))
        team = document.teams[0].name
        given_key = self._change("key give", team, "old")
        self._environment.add_key("withdrawn", given_key["key"])
        self._change("key withdraw", team, "old")
        self._wait_for_fleet()

    def _wait_for_fleet(self) -> None:
        """Wait until each entry reports that all VMs serve."""
        end_s = time.monotonic() + FLEET_TIMEOUT_S
        while time.monotonic() < end_s:
            if all(self._all_serve(port) for port in self._operator_ports):
                return
            time.sleep(FLEET_POLL_S)
        raise RuntimeError("not all VMs serve in time")

    def _all_serve(self, port: int) -> bool:
        snapshot = self._command("status", entry_port=port)["snapshot"]
        return bool(snapshot["pools"]) and all(
            pool["serving_vms"] == pool["total_vms"]
            for pool in snapshot["pools"]
        )

    def _replay(self) -> list[str]:
        """Replay the trace during a wave and return the problems found."""
        results = self._directory / "results.jsonl"
        failed = []
        document = self._environment.document
        watch = DrainWatch(self._platform, document)
        watch.start()
        wave = threading.Thread(target=self._start_wave, args=(failed,))
        wave.start()
        entries = (f"127.0.0.1:{port}" for port in self._caller_ports)
        text = run_program(
            "rosemarynotch-replay",
            f"--entries={','.join(entries)}",
            f"--keys={self._environment.keys_file}",
            f"--trace=traces/{self._environment.name}.jsonl",
            f"--results={results}",
            check=False,
        )
        wave.join()
        print(text, flush=True)
        rows = [
            msgspec.json.decode(line)
            for line in results.read_bytes().splitlines()
        ]
        missed = sum(not each["held"] for each in rows)
        problems = failed + self._wait_for_wave()
        drains = watch.stop()
        problems += watch.missing(drains)
        if missed:
            problems.append(f"{missed} stated outcomes did not hold")
        ledger = call(f"127.0.0.1:{self._admin_port}", "/ledger")
        events = call(self._platform, "/ledger")
        print(*describe_job(rows, events), "", sep="\n", flush=True)
        requests = [each for each in rows if not each["job"]]
        problems += check_requests(requests, ledger, document)
        problems += check_jobs(rows, events, drains)
        problems += check_limits(rows, ledger["requests"], events, document)
        return problems + check_fleet(events, document, WAVE)

    def _start_wave(self, failed: list[str]) -> None:
        """Start the wave after a delay; add a problem if that fails."""
        time.sleep(WAVE_DELAY_S)
        try:
            self._change("wave start", WAVE)
        except subprocess.CalledProcessError as error:
            failed.append(f"wave not started: {error.output}")

    def _wait_for_wave(self) -> list[str]:
        """Wait for the end of the wave; return a problem if it takes long."""
        end_s = time.monotonic() + WAVE_TIMEOUT_S
        waves = []
        while time.monotonic() < end_s:
            waves = self._command("status")["snapshot"]["waves"]
            if any(w["name"] == WAVE and w["state"] == "done" for w in waves):
                return []
            time.sleep(WAVE_POLL_S)
        return [f"wave not done: {waves}"]

    def _session(self, entry_port: int = 0) -> list[str]:
        ports = [entry_port] if entry_port else self._operator_ports
        entries = (f"127.0.0.1:{port}" for port in ports)
        return [
            f"--entry={','.join(entries)}",
            f"--operator-key={self._operator_key}",
        ]

    def _change(self, command: str, *arguments: str) -> dict:
        options = (f"--operator={OPERATOR}", f"--reason={REASON}")
        return self._command(command, *arguments, *options)

    def _command(
        self, command: str, *arguments: str, session=True, entry_port=0
    ) -> dict:
        """Run ``rosemarynotch`` and return its decoded JSON output.

        :param session: whether to pass the options of a session
        :param entry_port: operator port of the entry to call, 0 for any entry
        """
        words = [*command.split(), *arguments, "--output=json"]
        words += self._session(entry_port) if session else []
        return msgspec.json.decode(run_program("rosemarynotch", *words))

    def _show(self, command: str) -> None:
        """Run ``rosemarynotch`` and print its output."""
        text = run_program("rosemarynotch", command, *self._session())
        print(text, flush=True)


def _print_logs(directory: Path) -> None:
    """Print the last lines of each log."""
    for log in sorted(directory.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()
        print(f"-- {log.stem}", *lines[-LOG_LINES:], sep="\n")


def main() -> int:
    """Run the demonstration and return its exit status."""
    failed = False
    for name in ENVIRONMENTS:
        print(f"== {name}", flush=True)
        with tempfile.TemporaryDirectory(prefix="rosemarynotch-") as path:
            problems = Demonstration(name, Path(path)).run()
            if problems:
                _print_logs(Path(path))
        for problem in problems:
            print(f"NOT HELD {problem}")
        print(f"{name}: {'FAILED' if problems else 'ok'}\n", flush=True)
        failed |= bool(problems)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
