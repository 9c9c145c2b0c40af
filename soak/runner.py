"""One seeded run of the soak."""

from pathlib import Path
import random
import sys
import tempfile
import threading
import time

import attrs

from soak.callers import Caller
from soak.checks import Checker
from soak.faults import FAULTS
from soak.faults import Target
from soak.history import History
from soak.proxy import Proxy
from standins.fleet import Emulator
from tests.lib.nodes import configuration
from tests.lib.nodes import KEYS
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

__all__ = ["SoakResult", "SoakSettings", "run_soak"]

START_S = 20.0
# The users' platform asks for all accepted jobs this long after the end of
# the traffic (``finish_s``); the longest lease and recovery lie within it.
FINISH_S = 14.0
CHECK_INTERVAL_S = 1.0
POOLS = {"one": 6, "two": 2, "spare": 4}
# Above what the lasting jobs of six callers take, so that all work can end.
CAPS = {"team-b": 14000}
LAUNCHER = Path(__file__).parent / "launcher.py"


@attrs.frozen(kw_only=True)
class SoakSettings:
    """What a run consists of.

    :ivar fault_interval_s: mean time between the beginnings of faults
    :ivar fault_s: longest time that a fault lasts; faults overlap
    """

    seed: int
    duration_s: float = 20.0
    node_count: int = 3
    caller_count: int = 6
    fault_interval_s: float = 1.2
    fault_s: float = 5.0


@attrs.frozen(kw_only=True)
class SoakResult:
    """What was found.

    :ivar timeline: what was done when, in seconds from the start
    """

    seed: int
    violations: tuple[str, ...]
    timeline: tuple[str, ...]
    job_count: int
    run_count: int
    log_folder: str


class _SoakNodes(Nodes):
    """Nodes with a link of their own to the store, and a clock."""

    def __init__(
        self, emulator: Emulator, count: int, links: dict[int, Proxy]
    ) -> None:
        self._links = links
        super().__init__(emulator, count)

    def store_address(self, number: int) -> str:
        """Return the proxy of a node."""
        return self._links[number].address

    def command(self) -> list[str]:
        """Return the command that starts a node with a stepped clock."""
        return [sys.executable, str(LAUNCHER)]

    def environment(self, number: int) -> dict[str, str]:
        """Return the environment, with the file of the clock."""
        path = str(self.clock_path(number))
        return super().environment(number) | {"SOAK_CLOCK": path}

    def clock_path(self, number: int) -> Path:
        """Return the file with the offset of a node's clock."""
        return self.folder / f"clock-{number}"


def run_soak(settings: SoakSettings, log_folder: Path) -> SoakResult:
    """Run nodes, callers and faults; check until the work is done.

    :param log_folder: the logs of the nodes are kept there
    """
    run = _Run(settings)
    try:
        violations = run.play()
    finally:
        kept = Path(tempfile.mkdtemp(dir=log_folder, prefix="nodes-"))
        run.close(kept)
    return SoakResult(
        seed=settings.seed,
        violations=tuple(violations),
        timeline=tuple(run.timeline),
        job_count=len(run.history.jobs()),
        run_count=len(run.emulator.ledger.entries),
        log_folder=str(kept),
    )


class _Run:
    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self.timeline: list[str] = []
        self.history = History()
        self.emulator = Emulator(
            dict(POOLS), standby="spare", seed=settings.seed
        )
        tenants = [
            {
                "name": name,
                "api-keys": [key],
                "weight": 1,
                "cap": {"cpu": CAPS[name]} if name in CAPS else {},
            }
            for name, key in KEYS.items()
        ]
        self.emulator.put_configuration(configuration(tenants=tenants))
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
        self._target.config_changes = {"tenants": tenants}
        self._checker = Checker(self.emulator, self.history, CAPS)
        self._started_s = time.monotonic()

    def play(self) -> list[str]:
        """Return what was broken."""
        wait_until(
            lambda: all(map(self._nodes.is_ready, self._links)),
            START_S,
            "all nodes are ready",
        )
        self._started_s = time.monotonic()
        callers = [
            Caller(self._nodes, self.history, self._random.getrandbits(32))
            for _ in range(self._settings.caller_count)
        ]
        self._break_things()
        for caller in callers:
            caller.stop()
        self._note("callers have stopped")
        return self._settle()

    def _break_things(self) -> None:
        settings = self._settings
        timers: list[threading.Thread] = []
        checked_s = self._started_s
        while time.monotonic() - self._started_s < settings.duration_s:
            fault = self._random.choice(FAULTS)(self._target)
            lasts_s = self._random.uniform(0.1, settings.fault_s)
            self._note(f"{fault.begin()}, for {lasts_s:.1f} s")
            # The end waits for processes, so each has a thread of its own.
            timer = threading.Timer(lasts_s, fault.end)
            timer.start()
            timers.append(timer)
            time.sleep(self._random.expovariate(1 / settings.fault_interval_s))
            if time.monotonic() - checked_s > CHECK_INTERVAL_S:
                checked_s = time.monotonic()
                if self._checker.violations():
                    break
        for timer in timers:
            timer.join()

    def _settle(self) -> list[str]:
        """Wait until all accepted work is done, then check everything."""
        end_s = time.monotonic() + FINISH_S
        left = self._checker.unfinished()
        while left and time.monotonic() < end_s:
            time.sleep(CHECK_INTERVAL_S / 4)
            left = self._checker.unfinished()
        self._note(f"settled, {len(left)} unfinished")
        return [*self._checker.violations(), *left]

    def _note(self, what: str) -> None:
        at_s = time.monotonic() - self._started_s
        self.timeline.append(f"{at_s:.2f} {what}")

    def close(self, kept: Path) -> None:
        """End everything that was started, and keep the logs."""
        self._nodes.keep_logs(kept)
        self._nodes.close()
        for link in self._links.values():
            link.close()
        self.emulator.close()
