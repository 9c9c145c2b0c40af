"""Composition root of a node on the users' platform."""

from collections.abc import Iterable
import os
import signal
import sys
import threading
import traceback
import uuid

import attrs

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.platform import CallerInterface
from rosemarynotch._internal.platform import decode_configuration
from rosemarynotch._internal.platform import decode_wave
from rosemarynotch._internal.platform import decode_worker
from rosemarynotch._internal.platform import encode_wave_status
from rosemarynotch._internal.platform import HttpAdvisor
from rosemarynotch._internal.platform import HttpCoordinationStore
from rosemarynotch._internal.platform import HttpFleetService
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.platform import KEYS
from rosemarynotch._internal.platform import load_settings
from rosemarynotch._internal.platform.settings import NodeSettings
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.controller import ControllerPorts
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.hints import HintReceiver
from rosemarynotch._internal.scheduling.hints import HintSender
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.leadership import Grant
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.probes import MetricsApp
from rosemarynotch._internal.scheduling.probes import ReadinessApp
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.graceful_server import GracefulServer
from rosemarynotch._internal.utils.graceful_server import ServerLimits
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.json_logs import JsonLog
from rosemarynotch._internal.utils.machine_speed import MachineSpeed
from rosemarynotch._internal.utils.machine_speed import SAMPLE_INTERVAL_S
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.suspension import SuspensionClock

__all__ = ["Node", "run_node"]

# The store answers in 4 ms; one that is 100 times slower is still used.
STORE_TIMEOUT_S = 0.8
# Renewals that come later than this would not save the lease.
LEASE_CALL_TIMEOUT_S = 0.45
# Orders use connections that were idle for so long. One that was closed
# meanwhile leaves an order unanswered, which the planner repeats.
WORKER_IDLE_S = 5.0
ADVICE_TIMEOUT_S = 1.5
VM_SERVICE_TIMEOUT_S = 1.0
# Added to the time between the orders of two holders for one VM.
QUIET_MARGIN_S = 0.3
CALLER_THREADS = 24
# Of the 3,900 descriptors that a node may use for connections.
CALLER_CONNECTIONS = 2000
PROBE_THREADS = 2
INTAKE_THREADS = 3
# The load balancer needs two failed probes, one a second.
LEAVE_NOTICE_S = 2.5
# The file may change without a signal.
SETTINGS_INTERVAL_S = 5.0
# A node with fewer cores lets others lead first, if there are any.
AMPLE_CORES = 2.0
ELECTION_DELAY_S_PER_CORE = 0.2
# Nodes are restarted in turn. One that runs since the first start is still to
# be restarted and would hand over soon, so one that was restarted goes first.
FIRST_START_DELAY_S = 0.1
# The process ends by itself this long before it would be killed.
EXIT_MARGIN_S = 0.4
FOLLOW_INTERVAL_S = 0.05
# A part that has failed begins again after this time.
RESTART_S = 0.5


class Node:
    """All parts of one process."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._stop = threading.Event()
        self._settings_event = threading.Event()
        self._clock = SuspensionClock()
        self._metrics = Metrics()
        self._speed = MachineSpeed()
        incarnation = uuid.uuid4().hex[:12]
        self._log = JsonLog(
            {"node": settings.node, "incarnation": incarnation}
        )
        self._log("starting")
        self._hints = HintReceiver(
            settings.ip,
            settings.metrics_port,
            self._note_hint,
            self._log,
        )
        self._follower = ConfigFeed(
            self._store(STORE_TIMEOUT_S),
            self._clock,
            KEYS.configuration,
            decode_configuration,
            self._log,
        )
        self._intake = JobIntake(
            self._store(STORE_TIMEOUT_S),
            self._clock,
            KEYS.configuration,
            self._log,
            HintSender(
                lambda: self._leadership.hint_address(),
                self._note_hint,
                self._log,
            ).send,
        )
        self._job_api = JobApi(
            self._follower,
            self._intake,
            self._clock,
            self._metrics,
            self._log,
        )
        self._leadership = Leadership(
            self._store(LEASE_CALL_TIMEOUT_S),
            self._clock,
            settings.node,
            settings.ip,
            incarnation,
            self._log,
            _leader_handicap_s(settings),
            self._hints.port,
            lambda: self._speed.is_slow,
        )
        self._callers = self._server(
            CallerInterface(self._job_api),
            settings.callers_address,
            CALLER_THREADS,
            connections=CALLER_CONNECTIONS,
            limits=self._limits,
        )
        self._probes = self._server(
            ReadinessApp(self._job_api), settings.probe_address, PROBE_THREADS
        )
        self._exposition = self._server(
            MetricsApp(self._metrics, self._log),
            f"{settings.ip}:{settings.metrics_port}",
            PROBE_THREADS,
        )
        self._controller: Controller | None = None

    def run(self) -> int:
        """Serve until SIGTERM; return the exit status."""
        threading.excepthook = self._note_crash
        signal.signal(signal.SIGTERM, lambda *_: self._stop.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self._settings_event.set())
        self._callers.start()
        self._probes.start()
        self._exposition.start()
        self._start_thread(self._follower.run, "configuration")
        for number in range(INTAKE_THREADS):
            self._start_thread(self._intake.run, f"intake-{number}")
        self._start_thread(self._leadership.run, "leadership")
        self._start_thread(self._hints.run, "hints")
        self._start_thread(self._watch_speed, "speed")
        threading.Thread(target=self._lead, daemon=True).start()
        threading.Thread(target=self._watch_settings, daemon=True).start()
        self._log("serving")
        self._stop.wait()
        self._leave()
        return 0

    def _note_hint(self, keys: Iterable[str]) -> None:
        if self._controller is not None:
            self._controller.note_hint(keys)

    def _watch_speed(self, stop: threading.Event) -> None:
        while not stop.wait(SAMPLE_INTERVAL_S):
            self._speed.sample()

    def _watch_settings(self) -> None:
        """Read the settings again after SIGHUP, and from time to time.

        Addresses and bounds hold for what is created from then on, such as
        the connections of the next term; ports stay as they are.
        """
        while True:
            self._settings_event.wait(SETTINGS_INTERVAL_S)
            is_asked = self._settings_event.is_set()
            self._settings_event.clear()
            try:
                settings = load_settings()
            except SettingsError as error:
                self._log("settings refused", why=str(error))
                continue
            before = attrs.asdict(self._settings)
            changed = [
                name
                for name, value in attrs.asdict(settings).items()
                if value != before[name]
            ]
            self._settings = settings
            if changed or is_asked:
                self._log("settings reloaded", changed=",".join(changed))

    def _note_crash(self, args: threading.ExceptHookArgs) -> None:
        """Log an unexpected exception; without it the thread ends unseen."""
        lines = traceback.format_exception(args.exc_value)
        self._log(
            "thread crashed",
            thread=args.thread.name if args.thread else "",
            error=lines[-1].strip(),
            where=" ".join(lines[-2].split()),
        )

    def _start_thread(self, target, name: str) -> None:
        """Run a part until the process ends, again after an error.

        A node that has lost its configuration feed, its intake or its
        election would stand in the way of others.
        """

        def run():
            # They go on after SIGTERM: requests under way need them.
            while True:
                try:
                    target(threading.Event())
                    return
                except Exception:
                    self._note_crash(
                        threading.ExceptHookArgs(
                            (*sys.exc_info(), threading.current_thread())
                        )
                    )
                    self._clock.sleep(RESTART_S)

        threading.Thread(target=run, name=name, daemon=True).start()

    def _lead(self) -> None:
        """Run a controller for each term that this node leads."""
        while not self._stop.is_set():
            grant = self._leadership.grant
            if grant is None:
                self._clock.sleep(FOLLOW_INTERVAL_S)
                continue
            self._controller = Controller(
                grant,
                self._leadership,
                ControllerPorts(
                    store=self._store(STORE_TIMEOUT_S),
                    workers_prefix=KEYS.workers,
                    decode_worker=decode_worker,
                    connect_worker=self._connect_worker,
                    waves_prefix=KEYS.waves,
                    wave_status_prefix=KEYS.wave_status,
                    decode_wave=decode_wave,
                    encode_wave_status=encode_wave_status,
                    fleet=self._fleet(grant),
                    advisor=self._advisor(),
                ),
                lambda: self._follower.current,
                self._clock,
                self._metrics,
                self._log,
                FleetTiming(
                    holder_interval_s=self._settings.holder_interval_ms / 1000
                    + QUIET_MARGIN_S,
                    maintenance_s=self._settings.maintenance_s,
                ),
            )
            self._controller.run()

    def _leave(self) -> None:
        """Hand over, finish all requests and stop."""
        self._log("stopping")
        guard = threading.Timer(
            self._settings.grace_s - EXIT_MARGIN_S, self._exit
        )
        guard.daemon = True
        guard.start()
        self._job_api.mark_not_ready()
        if self._controller is not None:
            self._controller.writer.flush()
        self._leadership.resign()
        self._callers.stop(LEAVE_NOTICE_S)
        self._log("stopped")
        self._log.close()

    def _exit(self) -> None:
        """End before SIGKILL when a connection does not."""
        self._log("stopped", why="the grace time is over")
        self._log.close()
        os._exit(0)

    def _store(self, timeout_s: float) -> HttpCoordinationStore:
        return HttpCoordinationStore(
            HttpClient(self._settings.store_address, self._clock, timeout_s)
        )

    def _connect_worker(self, entry: WorkerEntry) -> HttpWorkerChannel:
        return HttpWorkerChannel(
            lambda timeout_s: HttpClient(
                entry.address,
                self._clock,
                timeout_s,
                max_idle_once_s=WORKER_IDLE_S,
            ),
            entry.worker_id,
        )

    def _fleet(self, grant: Grant) -> HttpFleetService | None:
        address = self._settings.vm_service_address
        if not address:
            return None
        http = HttpClient(address, self._clock, VM_SERVICE_TIMEOUT_S)
        return HttpFleetService(
            http,
            self._settings.node,
            lambda: self._leadership.holds(grant),
        )

    def _advisor(self) -> HttpAdvisor | None:
        address = self._settings.advisor_address
        if not address:
            return None
        return HttpAdvisor(HttpClient(address, self._clock, ADVICE_TIMEOUT_S))

    def _limits(self) -> ServerLimits:
        """Return the limits of the newest configuration."""
        configuration = self._follower.current
        if configuration is None:
            return ServerLimits()
        limits = configuration.limits
        # Bodies arrive within the same time again.
        return ServerLimits(
            idle_timeout_s=limits.idle_timeout_ms / 1000,
            request_timeout_s=2 * limits.header_timeout_ms / 1000,
        )

    @staticmethod
    def _server(app, address: str, threads: int, **options) -> GracefulServer:
        host, port = parse_address("listen address", address)
        return GracefulServer(app, host, port, threads, **options)


def _leader_handicap_s(settings: NodeSettings) -> float:
    election_delay_s = (
        max(0.0, AMPLE_CORES - settings.cores) * ELECTION_DELAY_S_PER_CORE
    )
    if settings.is_first_start:
        election_delay_s += FIRST_START_DELAY_S
    return election_delay_s


def run_node() -> int:
    """Run a node with the settings of its file."""
    return Node(load_settings()).run()
