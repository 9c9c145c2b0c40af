"""The control loop, which processes the fleet record about once a second."""

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
# With more VMs than this, passes run less often, because during a wave each
# pass costs about 15 us of CPU and a write of 13 bytes per VM.
VMS_PER_S = 260
TOKEN_BITS = 48
# A new leader begins no drains until it has a heartbeat of every entry, since
# until then it does not know their demand and the VMs that they have ejected.
# It waits no longer than this, because an entry may be dead.
MAX_HEARTBEAT_WAIT_S = 10.0

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class Policies:
    """The configurable policies of the loop."""

    waves: WavePolicy
    moves: MovePolicy


@attrs.frozen(kw_only=True)
class FleetSources:
    """The sources of the loop's input.

    :ivar in_force: view of the configuration in force
    :ivar fleet: view of the fleet record
    :ivar members: view of the members record
    :ivar heard: returns the last heartbeat of each member and its age
    :ivar vms: the platform's VM service
    """

    in_force: object
    fleet: object
    members: object
    heard: object
    vms: VmService


class ControlLoop:
    """Reconciles the fleet record and advances waves and moves.

    Several processes may run passes at the same time, since every change is
    computed from the value that it replaces.

    :param jobs: the controller of the jobs, with ``step(leads, document,
        record)`` and ``busy_workers()``
    :param own_vm: VM on which this process runs
    :param rng: makes operation ids unique
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
        self._vm_list = VmList(sources.vms, clock)
        self._failures = FailureTracker(clock)
        self._dead_members = DeadMemberRemover(records, own_vm, clock)
        self._progress = DrainProgress(records, jobs.busy_workers)
        self._unannounced_revision = 0
        self._next_pass_s = float("-inf")
        self._last_noop: FleetChange | None = None
        self._confirmed_reboots: set[tuple[str, str]] = set()
        self._is_leading = False
        self._leading_since_s = float("-inf")
        self._leadership_listeners: tuple[Callable[[bool], None], ...] = ()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def alarms(self) -> tuple[str, ...]:
        """Return the alarms for the operators' report.

        Only the leader fetches the VM list, so the alarm of a process that
        lost the lease is outdated and left out.
        """
        has_alarm = self._is_leading and self._vm_list.alarm
        return (self._vm_list.alarm,) if has_alarm else ()

    def add_leadership_listener(
        self, callback: Callable[[bool], None]
    ) -> None:
        """Register a callback for changes of the leadership.

        :param callback: called with whether this process leads, on the thread
            that runs the passes
        """
        self._leadership_listeners += (callback,)

    def start(self) -> None:
        """Start the thread that runs the passes."""
        self._thread = threading.Thread(
            target=self._run, name="control", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current pass and release the lease."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        self._leadership.resign()

    def _run(self) -> None:
        while not self._stopped.wait(PASS_INTERVAL_S):
            try:
                self.step()
            except Exception:
                # An error in one pass must not end the control loop.
                _log.exception("control pass failed")

    def step(self) -> None:
        """Run one pass."""
        leads = self._leadership.hold()
        if leads != self._is_leading:
            self._set_leading(leads)
        current = self._sources.in_force.current
        if not current.version:
            return
        if leads:
            self._step_fleet(current.document)
        self._jobs.step(leads, current.document, self._sources.fleet.record)

    def _set_leading(self, leads: bool) -> None:
        self._is_leading = leads
        if leads:
            self._leading_since_s = self._clock.monotonic_s()
            self._dead_members.reset()
        for callback in self._leadership_listeners:
            callback(leads)

    def _step_fleet(self, document: Document) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_pass_s:
            return
        revision = self._sources.fleet.revision
        record = self._sources.fleet.record
        if revision != self._sources.fleet.revision:
            # The view changed between the two reads, so the record may be
            # newer than the revision; the pair must match.
            return
        self._next_pass_s = now_s + len(record.vms) / VMS_PER_S
        self._vm_list.refresh(record, self._dead_members.needs_newer_list())
        change = self._change(document, record, revision)
        if not revision:
            self._update(change)
        elif not change.is_noop(self._last_noop):
            self._apply(change, record, revision)
        if self._unannounced_revision:
            self._announce(self._unannounced_revision)
        self._reboot(self._sources.fleet.record)
        if not self._vm_list.alarm:
            self._dead_members.step(
                self._sources.members.record,
                self._sources.heard(),
                self._vm_list.rows,
                self._vm_list.read_s,
            )

    def _change(self, document: Document, record: FleetRecord, revision: int):
        """Return the change of this pass, a function of the record alone."""
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
            lasting_failures=self._failures.lasting_failures(record, ejected),
            demand_slots=demand,
        )
        loads = pool_loads(record, document, demand, ejected)
        now_s = self._clock.monotonic_s()
        may_drain = (
            len(heartbeats) == len(entries)
            or now_s - self._leading_since_s >= MAX_HEARTBEAT_WAIT_S
        )
        moves = []
        if may_drain:
            moves = self._policies.moves.choose(loads, now_s)
        return FleetChange(
            record,
            document,
            self._vm_list,
            self._policies.waves,
            inputs,
            moves,
            may_drain,
        )

    def _apply(
        self, change: FleetChange, record: FleetRecord, revision: int
    ) -> None:
        """Apply the change to the known record and write any result.

        Not reading the record before the write saves half of the traffic at
        1,300 VMs.
        """
        value = change(record)
        if value is record:
            self._last_noop = change
            return
        data = codec.encode_compressed(value)
        written = self._records.store.put(FLEET_KEY, data, revision)
        if not isinstance(written, Failure):
            self._adopt_written(change, Record(value=value, revision=written))
        elif written.is_a(STORE_CONFLICT):
            self._update(change)

    def _update(self, change: FleetChange) -> None:
        """Read the record and apply the change to it."""
        written = self._records.update(
            FLEET_KEY, FleetRecord, FleetRecord(), change, compressed=True
        )
        # After a failure the next pass starts from the same record and
        # repeats the change; if only the answer was lost, the read then shows
        # the change already made.
        if not isinstance(written, Failure):
            self._adopt_written(change, written)

    def _adopt_written(self, change: FleetChange, written: Record) -> None:
        if change.used_list:
            self._vm_list.record_own_change(written.value)
        self._sources.fleet.apply(written.value, written.revision)
        self._unannounced_revision = written.revision

    def _announce(self, revision: int) -> None:
        bumped = self._records.bump_head(fleet_revision=revision)
        failed = isinstance(bumped, Failure)
        self._unannounced_revision = revision if failed else 0

    def _reboot(self, record: FleetRecord) -> None:
        """Request pending reboots; a repeat uses the same operation id."""
        wanted = {
            (name, vm.operation_id)
            for name, vm in record.vms.items()
            if vm.state is VmState.REBOOTING
        }
        self._confirmed_reboots &= wanted
        for name, operation_id in sorted(wanted - self._confirmed_reboots):
            failure = self._sources.vms.reboot(name, operation_id)
            if failure is None:
                self._confirmed_reboots.add((name, operation_id))
