"""The control loop: one pass over the fleet record about every second."""

import random
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.control.dead_members import DeadMemberRemover
from rosemarynotch._internal.control.failures import FailureTracker
from rosemarynotch._internal.control.fleet_change import FleetChange
from rosemarynotch._internal.control.leadership import Leadership
from rosemarynotch._internal.control.moves import pool_loads
from rosemarynotch._internal.control.observation import demand_by_pool
from rosemarynotch._internal.control.observation import DrainProgress
from rosemarynotch._internal.control.observation import ejected_by_most
from rosemarynotch._internal.control.observation import fresh_heartbeats
from rosemarynotch._internal.control.vm_list import VmList
from rosemarynotch._internal.control.waves import WaveInputs
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_CONFLICT
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.moves import MovePolicy
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ControlLoop", "FleetSources", "Policies"]

PASS_INTERVAL_S = 1.0
# Passes over more VMs than this are further apart, because they cost about
# 15 us of CPU and a write of 13 bytes for each VM during a wave.
VMS_PER_S = 260
TOKEN_BITS = 48
# A new leader begins no drains until it has heard all entries, since it does
# not know their demand and which VMs they have ejected. It waits for this
# time at most, as an entry may be dead.
HEAR_S = 10.0

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class Policies:
    """The replaceable decisions of the loop."""

    waves: WavePolicy
    moves: MovePolicy


@attrs.frozen(kw_only=True)
class FleetSources:
    """Where the loop gets its knowledge from.

    :ivar in_force: ConfigInForce view of the configuration
    :ivar fleet: FleetView
    :ivar members: MembersView
    :ivar heard: returns the last heartbeat of each member and its age
    :ivar vms: the platform's VM service
    """

    in_force: object
    fleet: object
    members: object
    heard: object
    vms: VmService


class ControlLoop:
    """Reconciles the fleet record and moves waves and moves on.

    Any number of processes may run passes at the same time: every change is
    computed from the value that it replaces.

    :param jobs: steps on jobs, with ``step(leads, document, record)`` and
    X: makes operation ids unique
    """

    def __init__(
        self,
        records: RecordStore,
        sources: FleetSources,
        policies: Policies,
        leadership: Leadership,
        jobs,
        own_vm: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._records = records
        self._sources = sources
        self._policies = policies
        self._leadership = leadership
        self._jobs = jobs
        self._clock = clock
        self._rng = rng
        self._list = VmList(sources.vms, clock)
        self._failures = FailureTracker(clock)
        self._gone = DeadMemberRemover(records, own_vm, clock)
        self._progress = DrainProgress(records, jobs.busy_workers)
        self._unannounced_revision = 0
        self._next_fleet_s = float("-inf")
        self._last_idle: FleetChange | None = None
        self._told: set[tuple[str, str]] = set()
        self._leads = False
        self._led_since_s = float("-inf")
        self._on_lead: tuple[Callable[[bool], None], ...] = ()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def alarms(self) -> tuple[str, ...]:
        """Return what an operator has to look at, for the report.

        Only the leader fetches the list, so the alarm of a process that has
        lost the lease is out of date.
        """
        has_alarm = self._leads and self._list.alarm
        return (self._list.alarm,) if has_alarm else ()

    def add_leadership_listener(
        self, callback: Callable[[bool], None]
    ) -> None:
        """Call back when this process begins or ceases to lead.

        It runs on the thread that runs passes.
        """
        self._on_lead += (callback,)

    def start(self) -> None:
        """Start the thread that runs passes."""
        self._thread = threading.Thread(
            target=self._run, name="control", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """End the thread after its pass and give up the lease."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        self._leadership.resign()

    def _run(self) -> None:
        while not self._stopped.wait(PASS_INTERVAL_S):
            try:
                self.step()
            except Exception:
                # A fault in one pass must not end control for good.
                _log.exception("control pass failed")

    def step(self) -> None:
        """Run one pass without sleeping."""
        leads = self._leadership.hold()
        if leads != self._leads:
            self._note_lead(leads)
        current = self._sources.in_force.current
        if not current.version:
            return
        if leads:
            self._step_fleet(current.document)
        self._jobs.step(leads, current.document, self._sources.fleet.record)

    def _note_lead(self, leads: bool) -> None:
        self._leads = leads
        if leads:
            self._led_since_s = self._clock.monotonic_s()
            self._gone.begin()
        for callback in self._on_lead:
            callback(leads)

    def _step_fleet(self, document: Document) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_fleet_s:
            return
        revision = self._sources.fleet.revision
        record = self._sources.fleet.record
        if revision != self._sources.fleet.revision:
            # The record may be newer than the revision that was read; both
            # are needed together.
            return
        self._next_fleet_s = now_s + len(record.vms) / VMS_PER_S
        self._list.refresh(record, self._gone.needs_list())
        change = self._change(document, record, revision)
        if not revision:
            self._update(change)
        elif not change.is_repeated(self._last_idle):
            self._apply(change, record, revision)
        if self._unannounced_revision:
            self._announce(self._unannounced_revision)
        self._reboot(self._sources.fleet.record)
        if not self._list.alarm:
            self._gone.step(
                self._sources.members.record,
                self._sources.heard(),
                self._list.rows,
                self._list.read_s,
            )

    def _change(self, document: Document, record: FleetRecord, revision: int):
        """Return the change of this pass, a pure function of the record."""
        entries = self._sources.members.entries()
        heard = self._sources.heard()
        heartbeats = fresh_heartbeats(heard, entries)
        demand = demand_by_pool(heartbeats)
        ejected = ejected_by_most(heartbeats)
        drained, waiting = self._progress.check(
            record, revision, heard, entries
        )
        inputs = WaveInputs(
            token=f"{self._rng.getrandbits(TOKEN_BITS):012x}",
            drained=drained,
            waiting=waiting,
            ejected=ejected,
            settled=self._failures.settled(record, ejected),
            demand_slots=demand,
        )
        loads = pool_loads(record, document, demand, ejected)
        now_s = self._clock.monotonic_s()
        may_drain = (
            len(heartbeats) == len(entries)
            or now_s - self._led_since_s >= HEAR_S
        )
        moves = []
        if may_drain:
            moves = self._policies.moves.choose(loads, now_s)
        return FleetChange(
            record,
            document,
            self._list,
            self._policies.waves,
            inputs,
            moves,
            may_drain,
        )

    def _apply(
        self, change: FleetChange, record: FleetRecord, revision: int
    ) -> None:
        """Write what the change makes of the record, if it changes it.

        The record is known here, so it need not be read before the write;
        at 1,300 VMs that is half of the traffic.
        """
        value = change(record)
        if value is record:
            self._last_idle = change
            return
        data = codec.encode_compressed(value)
        written = self._records.store.put(FLEET_KEY, data, revision)
        if not isinstance(written, Failure):
            self._take(change, Record(value=value, revision=written))
        elif written.is_a(STORE_CONFLICT):
            self._update(change)

    def _update(self, change: FleetChange) -> None:
        """Read the record and change it."""
        written = self._records.update(
            FLEET_KEY, FleetRecord, FleetRecord(), change, compressed=True
        )
        # After a failure the next pass starts from the same record and
        # repeats the change. After a lost answer it finds it made.
        if not isinstance(written, Failure):
            self._take(change, written)

    def _take(self, change: FleetChange, written: Record) -> None:
        if change.used_list:
            self._list.note_own_change(written.value)
        self._sources.fleet.apply(written.value, written.revision)
        self._unannounced_revision = written.revision

    def _announce(self, revision: int) -> None:
        bumped = self._records.bump_head(fleet_revision=revision)
        failed = isinstance(bumped, Failure)
        self._unannounced_revision = revision if failed else 0

    def _reboot(self, record: FleetRecord) -> None:
        """Tell the platform about reboots; repeats have the same id."""
        wanted = {
            (name, vm.operation_id)
            for name, vm in record.vms.items()
            if vm.state is VmState.REBOOTING
        }
        self._told &= wanted
        for name, operation_id in sorted(wanted - self._told):
            failure = self._sources.vms.reboot(name, operation_id)
            if failure is None:
                self._told.add((name, operation_id))
