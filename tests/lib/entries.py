"""An entry in memory, with fakes of the parts that it depends on."""

import random
import threading
from types import SimpleNamespace

from rosemarynotch._internal.admission.dispatch import Dispatcher
from rosemarynotch._internal.admission.idempotency import IdempotencyTable
from rosemarynotch._internal.callers.app import CallerApp
from rosemarynotch._internal.callers.forwarding import Forwarder
from rosemarynotch._internal.callers.running import RequestRunner
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.ordering import WorthOverShareOrder
from rosemarynotch._internal.policy.routing import TwoChoicesRouter
from rosemarynotch._internal.targets.client import TargetClient
from rosemarynotch._internal.targets.health import HealthTable
from rosemarynotch._internal.utils.clock import SystemClock

__all__ = [
    "caller_request",
    "document",
    "EntryUnderTest",
    "FakeExchange",
    "FakePermits",
    "FakeShares",
    "fleet_record",
    "KEY",
]

KEY, KEY_SPEC = make_key("red", "k1")


def document(teams=("red", "blue"), reserve=0, longest_run_ms=30_000):
    """Return a document with one pool and three queues."""
    pool = PoolSpec(
        name="quotes",
        kind=PoolKind.SERVICE,
        min_available_vms=1,
        vms=(),
        urgent_reserve_slots=reserve,
    )

    def queue(name, **fields):
        return QueueSpec(
            name=name, pool="quotes", longest_run_ms=longest_run_ms, **fields
        )

    return Document(
        pools=(pool,),
        teams=tuple(
            TeamSpec(
                name=name, share=1.0, limit_requests=100, keys=(KEY_SPEC,)
            )
            for name in teams
        ),
        queues=(
            queue("quotes"),
            queue("rush", urgent=True),
            queue("open", open_to_all=True, team=teams[0]),
        ),
    )


def fleet_record(addresses, slots=8, state=VmState.SERVING):
    """Return a fleet record with one VM for each address.

    The VMs are named by the position of their address.
    """
    return FleetRecord(
        vms={
            f"vm-{number}": VmRecord(
                pool="quotes",
                state=state,
                instance="i-1",
                address=address,
                data_centre="Gent",
                rack="r1",
                slots=slots,
            )
            for number, address in enumerate(addresses)
        }
    )


class FakePermits:
    """Permits whose portions a test sets; the default is 100.

    :ivar holder: result of :meth:`largest_holder`
    :ivar peak_running: highest number of permits in use by one team
    """

    def __init__(self):
        self.portions = {}
        self.holder = ""
        self.peak_running = 0
        self._lock = threading.Lock()
        self._running = {}

    def portion(self, team):
        """Return the portion of a team."""
        return self.portions.get(team, 100)

    def running(self, team):
        """Return the number of permits in use."""
        return self._running.get(team, 0)

    def try_acquire(self, team):
        """Acquire a permit if the portion allows it."""
        with self._lock:
            if self.running(team) >= self.portion(team):
                return False
            self._running[team] = self.running(team) + 1
            self.peak_running = max(self.peak_running, self._running[team])
            return True

    def release(self, team):
        """Release a permit."""
        with self._lock:
            self._running[team] -= 1

    def largest_holder(self, _team):
        """Return the entry set by the test."""
        return self.holder

    def add_listener(self, callback):
        """Ignore listeners."""


class FakeShares:
    """Shares whose slots a test sets; by default all slots are spare."""

    def update(self, own):
        """Ignore demand."""

    def __init__(self):
        self.by_team = {}
        self.spare = 1000.0

    def slots(self, _pool, team):
        """Return the slots of a team."""
        return self.by_team.get(team, 0.0)

    def slot_range(self, _pool):
        """Return an empty part of the pool."""
        return 0.0, 0.0

    def spare_slots(self, _pool):
        """Return the slots without an owner."""
        return self.spare


class FakeExchange:
    """Passes forwarded requests to handlers of entries in this process."""

    def __init__(self):
        self.handlers = {}
        self.failure = None
        self.sent = []
        self.timeouts_s = []

    def forward(self, entry, forward, timeout_s):
        """Pass a request to the handler of another entry."""
        self.timeouts_s.append(timeout_s)
        self.sent.append((entry, forward))
        return self.failure or self.handlers[entry](forward)


class FakeMetrics:
    """Metrics that count events by name and code and ignore times."""

    def __init__(self):
        self._lock = threading.Lock()
        self.counts = {}

    def count(self, name, amount=1, **labels):
        """Count an event."""
        key = (name, labels.get("code", ""))
        with self._lock:
            self.counts[key] = self.counts.get(key, 0) + amount

    def record_ms(self, name, value_ms, **labels):
        """Ignore times."""


class EntryUnderTest:
    """The request path of one entry.

    :ivar stale: failure that the freshness check returns
    """

    def __init__(
        self,
        addresses,
        clock=None,
        order=None,
        router=None,
        name="entry-1",
        entries=("entry-1",),
        slots=8,
        current=None,
        max_requests=200,
        permits=None,
        metrics=None,
        seed=1,
    ):
        self.clock = clock or SystemClock()
        self.stale = None
        self.in_force = SimpleNamespace(
            current=SimpleNamespace(
                version=1, digest="", document=current or document()
            )
        )
        self.fleet = FleetView()
        self.fleet.apply(fleet_record(addresses, slots), 1)
        members = [
            Member(
                name=entry,
                kind=MemberKind.ENTRY,
                incarnation="a",
                vm=entry,
                vm_instance="",
                data_centre="Gent",
                peer_address="",
            )
            for entry in entries
        ]
        self.members = SimpleNamespace(
            revision=1,
            entries=lambda: members,
            owner=lambda team, key: key.partition("@")[2] or name,
        )
        freshness = SimpleNamespace(check=lambda: self.stale)
        self.permits = permits or FakePermits()
        self.shares = FakeShares()
        self.metrics = metrics or FakeMetrics()
        self.exchange = FakeExchange()
        self.health = HealthTable(self.clock)
        self.client = TargetClient(self.clock)
        self.dispatcher = Dispatcher(
            in_force=self.in_force,
            fleet=self.fleet,
            members=self.members,
            freshness=freshness,
            permits=self.permits,
            shares=self.shares,
            health=self.health,
            router=router or TwoChoicesRouter(random.Random(seed)),
            order=order or WorthOverShareOrder(),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.forwarder = Forwarder(
            name=name,
            in_force=self.in_force,
            members=self.members,
            permits=self.permits,
            exchange=self.exchange,
            runner=RequestRunner(
                dispatcher=self.dispatcher,
                client=self.client,
                health=self.health,
                clock=self.clock,
                metrics=self.metrics,
            ),
            table=IdempotencyTable(self.members, self.clock),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.app = CallerApp(
            in_force=self.in_force,
            freshness=freshness,
            forwarder=self.forwarder,
            jobs=SimpleNamespace(
                submit=lambda team, queue, job: {"team": team},
                status=lambda team, job_id: failures.JOB_UNKNOWN,
                cancel=lambda team, job_id: None,
            ),
            max_requests=max_requests,
            metrics=self.metrics,
        )

    def change_document(self, changed):
        """Put another document in force."""
        self.in_force.current = SimpleNamespace(
            version=self.in_force.current.version + 1,
            digest="",
            document=changed,
        )


def caller_request(**fields):
    """Return a request of team ``red`` to queue ``quotes``."""
    values = {
        "request_id": "r",
        "team": "red",
        "key_id": "k1",
        "queue": "quotes",
        "method": "GET",
        "path": "/",
        "headers": (),
        "body": b"",
        "worth": 1.0,
        "remaining_ms": 5_000,
        "idempotent": True,
    }
    return CallerRequest(**{**values, **fields})
