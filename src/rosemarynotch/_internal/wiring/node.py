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
from rosemarynotch._internal.platform import KEYS
from rosemarynotch._internal.platform import load_settings
from rosemarynotch._internal.platform.settings import NodeSettings
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.ended_term import EndedTerm
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.hints import HintReceiver
from rosemarynotch._internal.scheduling.hints import HintSender
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.leader_query import CompletedJob
from rosemarynotch._internal.scheduling.leader_query import LeaderQuery
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.phase_reader import PhaseReader
from rosemarynotch._internal.scheduling.policies import SchedulingPolicies
from rosemarynotch._internal.scheduling.probes import MetricsApp
from rosemarynotch._internal.scheduling.probes import ReadinessApp
from rosemarynotch._internal.scheduling.vm_orders import VmOrderObserver
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.graceful_server import GracefulServer
from rosemarynotch._internal.utils.graceful_server import ServerLimits
from rosemarynotch._internal.utils.heap import return_large_blocks
from rosemarynotch._internal.utils.json_logs import JsonLog
from rosemarynotch._internal.utils.machine_speed import MachineSpeed
from rosemarynotch._internal.utils.machine_speed import SAMPLE_INTERVAL_S
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.suspension import SuspensionClock
from rosemarynotch._internal.wiring.clients import LEASE_CALL_TIMEOUT_S
from rosemarynotch._internal.wiring.clients import PlatformClients
from rosemarynotch._internal.wiring.limits import caller_connections
from rosemarynotch._internal.wiring.limits import job_memory_bytes
from rosemarynotch._internal.wiring.limits import make_budget
from rosemarynotch._internal.wiring.limits import OTHER_CONNECTIONS
from rosemarynotch._internal.wiring.limits import PROBE_CONNECTIONS
from rosemarynotch._internal.wiring.limits import receive_buffer_bytes
from rosemarynotch._internal.wiring.policies import choose_policies
from rosemarynotch._internal.wiring.policies import POLICIES_VARIABLE

__all__ = ["Node", "run_node"]

# Added to the minimum time between orders of two leaders for the same VM.
HOLDER_INTERVAL_MARGIN_S = 0.3
CALLER_THREADS = 24
PROBE_THREADS = 2
INTAKE_THREADS = 3
# The load balancer removes a node after two failed probes, one per second.
LEAVE_NOTICE_S = 2.5
# Interval for reading the settings file, which may change without SIGHUP.
SETTINGS_INTERVAL_S = 5.0
# The election delay of a node grows with each core that it has less than this,
# so that larger nodes become leader first.
LEADER_CORES = 2.0
ELECTION_DELAY_S_PER_CORE = 0.2
# Nodes are restarted one after another, and the restart of the leader changes
# the leader. A node that has been running since the first start has yet to be
# restarted, so it leaves the leadership to nodes that have been.
FIRST_START_DELAY_S = 0.1
# The process exits this long before the end of the grace time, when it would
# be killed.
EXIT_MARGIN_S = 0.4
GRANT_POLL_INTERVAL_S = 0.05
# Delay before a thread that has failed is run again.
RESTART_DELAY_S = 0.5


class Node:
    """Creates, starts and stops all components of a node process."""

    def __init__(
        self, settings: NodeSettings, policies: SchedulingPolicies
    ) -> None:
        self._settings = settings
        self._policies = policies
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
        self._clients = PlatformClients(lambda: self._settings, self._clock)
        self._budget = make_budget(
            settings.memory_mb, self._metrics, self._log
        )
        self._connections = caller_connections(settings)
        self._receive_buffer_bytes = receive_buffer_bytes(
            settings.memory_mb,
            self._connections,
            *OTHER_CONNECTIONS,
        )
        self._hints = HintReceiver(
            settings.ip,
            settings.metrics_port,
            self._forward_hint,
            self._log,
            self._find_completed,
            self._budget.events.record,
        )
        self._config_feed = ConfigFeed(
            self._clients.store(),
            self._clock,
            KEYS.configuration,
            decode_configuration,
            self._log,
        )
        self._intake = JobIntake(
            self._clients.store(),
            self._clock,
            KEYS.configuration,
            self._log,
            HintSender(
                lambda: self._leadership.hint_address(),
                self._forward_hint,
                self._log,
            ).send,
        )
        self._job_api = JobApi(
            self._config_feed,
            self._intake,
            self._clock,
            self._metrics,
            self._log,
            PhaseReader(
                self._intake,
                LeaderQuery(
                    lambda: self._leadership.hint_address(),
                    self._find_completed,
                ),
                self._config_feed,
                self._clock,
                settings.withdrawal_ms / 1000,
                self._log,
            ),
            policies.admission,
            policies.room_retry,
        )
        self._leadership = Leadership(
            self._clients.store(LEASE_CALL_TIMEOUT_S),
            self._clock,
            settings.node,
            settings.ip,
            incarnation,
            self._log,
            _election_delay_s(settings),
            self._hints.port,
            lambda: self._speed.is_slow,
        )
        self._caller_server = self._server(
            CallerInterface(self._job_api),
            settings.callers_address,
            CALLER_THREADS,
            connections=self._connections,
            limits=self._limits,
        )
        self._probe_server = self._server(
            ReadinessApp(self._job_api),
            settings.probe_address,
            PROBE_THREADS,
            connections=PROBE_CONNECTIONS,
        )
        self._metrics_server = self._server(
            MetricsApp(self._metrics, self._log),
            f"{settings.ip}:{settings.metrics_port}",
            PROBE_THREADS,
            connections=PROBE_CONNECTIONS,
        )
        self._vm_orders = VmOrderObserver(self._clients.store(), self._clock)
        self._controller: Controller | None = None

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT; return the exit status."""
        threading.excepthook = self._log_crash
        signal.signal(signal.SIGTERM, lambda *_: self._stop.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self._settings_event.set())
        self._caller_server.start()
        self._probe_server.start()
        self._metrics_server.start()
        self._start_thread(self._config_feed.run, "configuration")
        for number in range(INTAKE_THREADS):
            self._start_thread(self._intake.run, f"intake-{number}")
        self._start_thread(self._leadership.run, "leadership")
        self._start_thread(self._hints.run, "hints")
        self._start_thread(self._vm_orders.run, "vm-orders")
        self._start_thread(self._sample_speed, "speed")
        threading.Thread(target=self._run_controllers, daemon=True).start()
        threading.Thread(target=self._reload_settings, daemon=True).start()
        self._log(
            "serving",
            connections=self._connections,
            receive_buffer_bytes=self._receive_buffer_bytes,
        )
        self._stop.wait()
        self._shut_down()
        return 0

    def _forward_hint(self, keys: Iterable[str]) -> None:
        if self._controller is not None:
            self._controller.record_hint(keys)

    def _find_completed(self, job_id: str) -> CompletedJob | None:
        if self._controller is None:
            return None
        return self._controller.find_completed(job_id)

    def _sample_speed(self, stop: threading.Event) -> None:
        while not stop.wait(SAMPLE_INTERVAL_S):
            self._speed.sample()

    def _reload_settings(self) -> None:
        """Reload the settings after SIGHUP and at regular intervals.

        Changed addresses and bounds apply to objects that are created later,
        such as the connections of the next term. Listen ports do not change.
        """
        while True:
            self._settings_event.wait(SETTINGS_INTERVAL_S)
            is_requested = self._settings_event.is_set()
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
            if changed or is_requested:
                self._log("settings reloaded", changed=",".join(changed))

    def _log_crash(self, args: threading.ExceptHookArgs) -> None:
        """Log an exception that would otherwise end a thread silently."""
        lines = traceback.format_exception(args.exc_value)
        self._log(
            "thread crashed",
            thread=args.thread.name if args.thread else "",
            error=lines[-1].strip(),
            where=" ".join(lines[-2].split()),
        )

    def _start_thread(self, target, name: str) -> None:
        """Run a function in a thread and run it again after an error.

        A node whose configuration feed, job intake or leader election has
        ended would still receive requests, and would keep other nodes from
        taking over its work.
        """

        def run():
            # Continues after SIGTERM: requests in flight need these threads.
            while True:
                try:
                    target(threading.Event())
                    return
                except Exception:
                    self._log_crash(
                        threading.ExceptHookArgs(
                            (*sys.exc_info(), threading.current_thread())
                        )
                    )
                    self._clock.sleep(RESTART_DELAY_S)

        threading.Thread(target=run, name=name, daemon=True).start()

    def _run_controllers(self) -> None:
        """Run a controller for each term in which this node is the leader."""
        last_term: EndedTerm | None = None
        while not self._stop.is_set():
            grant = self._leadership.grant
            if grant is None:
                self._clock.sleep(GRANT_POLL_INTERVAL_S)
                continue
            self._controller = Controller(
                grant,
                self._leadership,
                self._clients.ports(
                    lambda grant=grant: self._leadership.holds(grant)
                ),
                lambda: self._config_feed.current,
                self._clock,
                self._metrics,
                self._log,
                FleetTiming(
                    holder_interval_s=self._settings.holder_interval_ms / 1000
                    + HOLDER_INTERVAL_MARGIN_S,
                    maintenance_s=self._settings.maintenance_s,
                    orders_seen_at_s=self._vm_orders.seen_at_s,
                ),
                self._policies,
                last_term=last_term,
                job_memory=JobMemory(
                    job_memory_bytes(self._settings.memory_mb)
                ),
            )
            last_term = self._controller.run()

    def _shut_down(self) -> None:
        """Resign as leader, finish all requests and stop."""
        self._log("stopping")
        exit_timer = threading.Timer(
            self._settings.grace_s - EXIT_MARGIN_S, self._force_exit
        )
        exit_timer.daemon = True
        exit_timer.start()
        self._job_api.mark_not_ready()
        if self._controller is not None:
            self._controller.writer.flush()
        self._leadership.resign()
        self._caller_server.stop(LEAVE_NOTICE_S)
        self._log("stopped")
        self._log.close()

    def _force_exit(self) -> None:
        """Exit before SIGKILL if connections have not been closed in time."""
        self._log("stopped", why="grace time expired")
        self._log.close()
        os._exit(0)

    def _limits(self) -> ServerLimits:
        """Return the limits of the newest configuration."""
        configuration = self._config_feed.current
        if configuration is None:
            return ServerLimits()
        limits = configuration.limits
        # The body may take as long as the header.
        return ServerLimits(
            idle_timeout_s=limits.idle_timeout_ms / 1000,
            request_timeout_s=2 * limits.header_timeout_ms / 1000,
        )

    def _server(
        self, app, address: str, threads: int, **options
    ) -> GracefulServer:
        host, port = parse_address("listen address", address)
        return GracefulServer(
            app,
            host,
            port,
            threads,
            budget=self._budget,
            receive_buffer_bytes=self._receive_buffer_bytes,
            **options,
        )


def _election_delay_s(settings: NodeSettings) -> float:
    delay_s = (
        max(0.0, LEADER_CORES - settings.cores) * ELECTION_DELAY_S_PER_CORE
    )
    if settings.is_first_start:
        delay_s += FIRST_START_DELAY_S
    return delay_s


def run_node() -> int:
    """Run a node with the settings of its file; return the exit status."""
    policies = choose_policies(os.environ.get(POLICIES_VARIABLE, ""))
    return_large_blocks()
    return Node(load_settings(), policies).run()
