"""Executes one seeded run of the soak test."""

from pathlib import Path
import random
import sys
import tempfile
import threading
import time

import attrs

from soak.callers import ADVISED_QUEUE
from soak.callers import Caller
from soak.checks import Checker
from soak.checks import EVACUATE_MS
from soak.faults import Fault
from soak.faults import Target
from soak.fleet_faults import ALL_FAULTS
from soak.history import History
from soak.proxy import Proxy
from soak.queues import ADVICE_TIMES
from soak.queues import make_routes
from standins.fleet import EmulatedAdvisor
from standins.fleet import Emulator
from tests.lib.nodes import configuration
from tests.lib.nodes import KEYS
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

__all__ = ["SoakResult", "SoakSettings", "run_soak"]

START_TIMEOUT_S = 20.0
# The users' platform requires that all accepted jobs finish within this time
# after the end of the traffic (``finish_s``). It covers the longest lease and
# the recovery after it.
COMPLETION_TIMEOUT_S = 14.0
CHECK_INTERVAL_S = 1.0
POOLS = {"one": 6, "two": 2, "spare": 4}
DATA_CENTRES = ("zone-1", "zone-2")
# In millicores. Above the usage of the long-running jobs of six callers, so
# that all other jobs can complete.
CAPS = {"team-b": 14000}
LAUNCHER = Path(__file__).parent / "launcher.py"


@attrs.frozen(kw_only=True)
class SoakSettings:
    """Parameters of a run.

    :ivar fault_interval_s: mean time between the starts of two faults
    :ivar fault_s: maximum duration of a fault; faults may overlap
    :ivar faults: faults to choose from
    :ivar long_share: share of the jobs whose tasks outlast the change of a
        leader
    :ivar advised_share: share of the jobs whose starts need tickets
    :ivar scheduled_share: share of the jobs with several occurrences
    """

    seed: int
    duration_s: float = 20.0
    node_count: int = 3
    caller_count: int = 6
    fault_interval_s: float = 1.2
    fault_s: float = 5.0
    faults: tuple[type[Fault], ...] = ALL_FAULTS
    long_share: float = 0.08
    advised_share: float = 0.15
    scheduled_share: float = 0.1


@attrs.frozen(kw_only=True)
class SoakResult:
    """Outcome of a run.

    :ivar violations: violated guarantees; empty if the run passed
    :ivar timeline: injected faults, each with the seconds since the start
    :ivar log_folder: folder with the logs of the nodes
    """

    seed: int
    violations: tuple[str, ...]
    timeline: tuple[str, ...]
    job_count: int
    run_count: int
    log_folder: str


class _SoakNodes(Nodes):
    """Nodes that each have a proxy to the store and a stepped clock."""

    def __init__(
        self, emulator: Emulator, count: int, links: dict[int, Proxy]
    ) -> None:
        self._links = links
        self._advisor = emulator.advisor.address
        super().__init__(emulator, count, {"evacuate-ms": EVACUATE_MS})

    def write_settings(self, name, settings):
        """Add the advice service to the settings."""
        settings = {**settings, "advisor": self._advisor}
        return super().write_settings(name, settings)

    def store_address(self, number: int) -> str:
        """Return the address of a node's proxy to the store."""
        return self._links[number].address

    def command(self) -> list[str]:
        """Return the command that starts a node with a stepped clock."""
        return [sys.executable, str(LAUNCHER)]

    def environment(self, number: int) -> dict[str, str]:
        """Return the environment of a node, with its clock offset file."""
        path = str(self.clock_path(number))
        return super().environment(number) | {"SOAK_CLOCK": path}

    def clock_path(self, number: int) -> Path:
        """Return the path of a node's clock offset file."""
        return self.folder / f"clock-{number}"


def run_soak(settings: SoakSettings, log_folder: Path) -> SoakResult:
    """Run callers against nodes under faults and check the guarantees.

    :param log_folder: the logs of the nodes are copied to a new folder in it
    """
    run = _Run(settings)
    try:
        violations = run.execute()
    finally:
        kept_logs = Path(tempfile.mkdtemp(dir=log_folder, prefix="nodes-"))
        run.close(kept_logs)
    return SoakResult(
        seed=settings.seed,
        violations=tuple(violations),
        timeline=tuple(run.timeline),
        job_count=len(run.history.jobs()),
        run_count=len(run.emulator.ledger.entries),
        log_folder=str(kept_logs),
    )


class _Run:
    """State of one run: emulator, nodes, proxies, callers and checks."""

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self.timeline: list[str] = []
        self.history = History()
        self.emulator = Emulator(
            dict(POOLS),
            standby="spare",
            seed=settings.seed,
            data_centres=DATA_CENTRES,
            advisor=EmulatedAdvisor(lambda worker_id: True, ADVICE_TIMES),
        )
        self.emulator.advisor.needs_ticket = self._needs_ticket
        tenants = [
            {
                "name": name,
                "api-keys": [key],
                "weight": 1,
                "cap": {"cpu": CAPS[name]} if name in CAPS else {},
            }
            for name, key in KEYS.items()
        ]
        changes = {"tenants": tenants, "routes": make_routes()}
        self.emulator.put_configuration(configuration(**changes))
        self._links = {
            number: Proxy(self.emulator.store_server.address)
            for number in range(settings.node_count)
        }
        self._nodes = _SoakNodes(
            self.emulator, settings.node_count, self._links
        )
        clocks = {n: self._nodes.clock_path(n) for n in self._links}
        self._target = Target(
            self.emulator, self._nodes, self._links, clocks, self._random
        )
        self._target.config_changes = changes
        self._checker = Checker(self.emulator, self.history, CAPS)
        self._started_at_s = time.monotonic()

    def _needs_ticket(self, task: str) -> bool:
        job = self.history.find(task.partition(".")[0])
        return job is not None and job.queue == ADVISED_QUEUE

    def execute(self) -> list[str]:
        """Run callers and faults; return the violated guarantees."""
        wait_until(
            lambda: all(map(self._nodes.is_ready, self._links)),
            START_TIMEOUT_S,
            "all nodes are ready",
        )
        self._started_at_s = time.monotonic()
        callers = [
            Caller(
                self._nodes,
                self.history,
                self._random.getrandbits(32),
                self._settings.long_share,
                self._settings.advised_share,
                self._settings.scheduled_share,
            )
            for _ in range(self._settings.caller_count)
        ]
        self._inject_faults()
        for caller in callers:
            caller.stop()
        self._record("callers have stopped")
        return self._await_completion()

    def _inject_faults(self) -> None:
        settings = self._settings
        timers: list[threading.Thread] = []
        checked_at_s = self._started_at_s
        while time.monotonic() - self._started_at_s < settings.duration_s:
            fault = self._random.choice(settings.faults)(self._target)
            fault_duration_s = self._random.uniform(0.1, settings.fault_s)
            self._record(f"{fault.begin()}, for {fault_duration_s:.1f} s")
            # Ending a fault may wait for a process, so each end has its own
            # thread.
            timer = threading.Timer(fault_duration_s, fault.end)
            timer.start()
            timers.append(timer)
            time.sleep(self._random.expovariate(1 / settings.fault_interval_s))
            if time.monotonic() - checked_at_s > CHECK_INTERVAL_S:
                checked_at_s = time.monotonic()
                if self._checker.violations():
                    break
        for timer in timers:
            timer.join()

    def _await_completion(self) -> list[str]:
        """Wait for accepted jobs to finish, then run all checks."""
        end_s = time.monotonic() + COMPLETION_TIMEOUT_S
        unfinished = self._checker.unfinished()
        while unfinished and time.monotonic() < end_s:
            time.sleep(CHECK_INTERVAL_S / 4)
            unfinished = self._checker.unfinished()
        self._record(f"wait for jobs ended, {len(unfinished)} unfinished")
        return [*self._checker.violations(), *unfinished]

    def _record(self, event: str) -> None:
        at_s = time.monotonic() - self._started_at_s
        self.timeline.append(f"{at_s:.2f} {event}")

    def close(self, kept_logs: Path) -> None:
        """Copy the logs, then stop nodes, proxies and the emulator."""
        self._nodes.keep_logs(kept_logs)
        self._nodes.close()
        for link in self._links.values():
            link.close()
        self.emulator.close()
