"""Composition of an entry process."""

import threading

import attrs
import logbook

from rosemarynotch._internal.admission.dispatch import Dispatcher
from rosemarynotch._internal.admission.idempotency import IdempotencyTable
from rosemarynotch._internal.admission.jobs import JobIntake
from rosemarynotch._internal.admission.pools import shareable_slots
from rosemarynotch._internal.callers.app import CallerApp
from rosemarynotch._internal.callers.forwarding import Forwarder
from rosemarynotch._internal.callers.running import RequestRunner
from rosemarynotch._internal.callers.server import CallerServer
from rosemarynotch._internal.control import operations
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.operators.app import OperatorApp
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.collector import MetricsCollector
from rosemarynotch._internal.operators.keys import OperatorKeys
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators import OperatorServer
from rosemarynotch._internal.operators.server import CONNECTION_LIMIT
from rosemarynotch._internal.policy.local_shares import LocalShares
from rosemarynotch._internal.policy.ordering import FifoOrder
from rosemarynotch._internal.policy.ordering import OrderPolicy
from rosemarynotch._internal.policy.ordering import RoundRobinOrder
from rosemarynotch._internal.policy.ordering import WorthOverShareOrder
from rosemarynotch._internal.policy.routing import LeastInFlightRouter
from rosemarynotch._internal.policy.routing import OwnSlotsRouter
from rosemarynotch._internal.policy.routing import RandomRouter
from rosemarynotch._internal.policy.routing import Router
from rosemarynotch._internal.policy.routing import TwoChoicesRouter
from rosemarynotch._internal.policy.shares import EqualSplit
from rosemarynotch._internal.policy.shares import SharePolicy
from rosemarynotch._internal.policy.shares import ShareTable
from rosemarynotch._internal.policy.shares import WeightedMaxMin
from rosemarynotch._internal.targets.client import TargetClient
from rosemarynotch._internal.targets.health import HealthTable
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.graceful_server import default_connections
from rosemarynotch._internal.utils.request_budget import DEFAULT_MEMORY_MB
from rosemarynotch._internal.wiring.heartbeats import HeartbeatSource
from rosemarynotch._internal.wiring.limits import receive_buffer_bytes
from rosemarynotch._internal.wiring.process import MemberProcess
from rosemarynotch._internal.wiring.process import MemberSettings

__all__ = [
    "Entry",
    "EntrySettings",
    "ORDERS",
    "ROUTERS",
    "SHARE_POLICIES",
]

# Threads that stay available for refusals, job endpoints and the health probe
# while requests wait.
RESERVED_THREADS = 16
# Time between log lines while a stop waits for requests in flight.
STOP_LOG_INTERVAL_S = 10.0

LOCAL_SHARES = "local"
SHARE_POLICIES: dict[str, type[SharePolicy] | None] = {
    "max-min": WeightedMaxMin,
    "equal": EqualSplit,
    LOCAL_SHARES: None,
}
ORDERS: dict[str, type[OrderPolicy]] = {
    "worth-over-share": WorthOverShareOrder,
    "fifo": FifoOrder,
    "round-robin": RoundRobinOrder,
}
ROUTERS: dict[str, type[Router]] = {
    "own-slots": OwnSlotsRouter,
    "two-choices": TwoChoicesRouter,
    "least-in-flight": LeastInFlightRouter,
    "random": RandomRouter,
}

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry in addition to those of any member.

    :ivar balancer_notice_s: time for which the health probe fails before the
        entry stops listening, so that the load balancer can react
    """

    member: MemberSettings
    environment: str
    is_trial: bool
    caller_listen: str
    operator_keys: str
    caller_threads: int
    share_policy: str
    order: str
    router: str
    balancer_notice_s: float


class Entry:
    """An entry, which passes requests to targets and serves operators."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._keys = OperatorKeys(settings.operator_keys)
        self._caller_address = parse_address(
            "caller-listen", settings.caller_listen
        )
        self._operator_address = parse_address(
            "operator-listen", settings.member.operator_listen
        )
        self.process = MemberProcess(settings.member)
        self._receive_buffer_bytes = receive_buffer_bytes(
            DEFAULT_MEMORY_MB,
            default_connections(settings.caller_threads),
            CONNECTION_LIMIT,
        )

    def run(self, stopping: threading.Event) -> int:
        """Serve until the event is set.

        :returns: the exit status
        """
        return self.process.run(stopping, self._build, self._serve, self._stop)

    def _build(self, me: Member) -> None:
        process = self.process
        self._build_admission(me)
        jobs = JobIntake(
            process.records,
            process.in_force,
            f"{me.name}.{me.incarnation}",
            process.clock,
        )
        forwarder = self._make_forwarder()
        app = CallerApp(
            in_force=process.in_force,
            freshness=process.freshness,
            forwarder=forwarder,
            jobs=jobs,
            metrics=process.metrics,
            max_requests=self._settings.caller_threads - RESERVED_THREADS,
        )
        process.exchange.set_forward_handler(forwarder.handle_forward)
        host, port = self._caller_address
        self._server = CallerServer(
            app,
            host,
            port,
            self._settings.caller_threads,
            self.process.budget,
            self._receive_buffer_bytes,
        )
        self._jobs = jobs
        self._build_operators()

    def _build_admission(self, me: Member) -> None:
        process = self.process
        self._permits = process.make_permits(me, claims_fair_portion=True)
        self._shares = self._make_share_table(me.name)
        self._health = HealthTable(process.clock)
        self._dispatcher = Dispatcher(
            in_force=process.in_force,
            fleet=process.fleet,
            members=process.members,
            freshness=process.freshness,
            permits=self._permits,
            shares=self._shares,
            health=self._health,
            router=ROUTERS[self._settings.router](process.rng),
            order=ORDERS[self._settings.order](),
            clock=process.clock,
            metrics=process.metrics,
        )
        self._heartbeats = HeartbeatSource(
            process,
            self._dispatcher.demand,
            self._dispatcher.running_by_vm,
            self._permits.short_teams,
            self._health.ejected,
        )
        self._connect_admission()

    def _make_share_table(self, name: str) -> ShareTable | LocalShares:
        if self._settings.share_policy == LOCAL_SHARES:
            return LocalShares(self._pool_slots, self._entry_names)
        return ShareTable(
            name,
            SHARE_POLICIES[self._settings.share_policy](),
            self.process.clock,
            self._pool_slots,
            self._team_share,
            self._entry_names,
        )

    def _pool_slots(self, pool: str) -> float:
        document = self.process.in_force.current.document
        return shareable_slots(self.process.fleet, document, pool)

    def _team_share(self, name: str) -> float:
        team = self.process.in_force.current.document.team(name)
        return team.share if team is not None else 0.0

    def _entry_names(self) -> list[str]:
        return [member.name for member in self.process.members.entries()]

    def _connect_admission(self) -> None:
        process = self.process
        exchange = process.exchange
        self._permits.set_short_teams_source(self._dispatcher.short_teams)
        exchange.set_heartbeat_source(self._heartbeats)
        exchange.add_sent_listener(self._shares.record_sent_heartbeat)
        exchange.add_heartbeat_listener(self._shares.record_heartbeat)

    def _make_forwarder(self) -> Forwarder:
        process = self.process
        runner = RequestRunner(
            dispatcher=self._dispatcher,
            client=TargetClient(process.clock),
            health=self._health,
            clock=process.clock,
            metrics=process.metrics,
        )
        return Forwarder(
            name=self._settings.member.name,
            in_force=process.in_force,
            members=process.members,
            permits=self._permits,
            exchange=process.exchange,
            runner=runner,
            table=IdempotencyTable(process.members, process.clock),
            clock=process.clock,
            metrics=process.metrics,
        )

    def _build_operators(self) -> None:
        process = self.process
        observer = Observer(
            self._settings.environment,
            process.in_force,
            process.fleet,
            process.members,
            process.freshness,
            process.exchange.heard,
            self._heartbeats,
            process.clock,
        )
        process.exchange.add_heartbeat_listener(observer.record_heartbeat)
        collector = MetricsCollector(
            self._settings.member.name,
            process.metrics,
            process.members,
            process.exchange.fetch_metrics,
        )
        process.exchange.set_metrics_source(collector.answer)
        app = OperatorApp(
            keys=self._keys,
            records=process.records,
            in_force=process.in_force,
            fleet=process.fleet,
            observer=observer,
            changes=ConfigChanges(
                process.records, process.clock, self._settings.environment
            ),
            operations=operations,
            jobs=self._jobs,
            metrics=process.metrics,
            collector=collector,
            is_trial=self._settings.is_trial,
        )
        host, port = self._operator_address
        self._operator_server = OperatorServer(
            app, host, port, self.process.budget, self._receive_buffer_bytes
        )

    def _serve(self) -> None:
        self._permits.start()
        self._dispatcher.start()
        self._operator_server.start()
        self._server.start()
        _log.notice("serving", address=self._server.address)

    def _stop(self) -> None:
        """Stop without interrupting requests (rule R8)."""
        self._server.stop(self._settings.balancer_notice_s)
        self._dispatcher.begin_shutdown()
        while not self._dispatcher.wait_idle(STOP_LOG_INTERVAL_S):
            _log.notice("waiting for requests in flight")
        self.process.stop(self._permits.stop)
        self._dispatcher.stop()
        self._operator_server.stop()
