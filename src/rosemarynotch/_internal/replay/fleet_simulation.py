"""Simulates a fleet in one process on simulated time.

The control loop is that of the product. The store, the platform's VM list
and the entries are replaced by small models; the store counts calls and
bytes.
"""

import random
from typing import Callable
import zlib

from rosemarynotch._internal.configuration.views import ConfigInForce
from rosemarynotch._internal.configuration.views import FleetView
from rosemarynotch._internal.configuration.views import MembersView
from rosemarynotch._internal.control import ControlLoop
from rosemarynotch._internal.control import FleetSources
from rosemarynotch._internal.control import Leadership
from rosemarynotch._internal.control import Policies
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.peers.latest_heartbeats import ReceivedHeartbeat
from rosemarynotch._internal.policy.moves import MovePolicy
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.replay.simulated_platform import SimulatedClock
from rosemarynotch._internal.replay.simulated_platform import SimulatedStore
from rosemarynotch._internal.replay.simulated_platform import SimulatedVms

__all__ = ["FleetSimulation"]

OWN_VM = "vm-control"
MAX_WORK_S = 10.0


class SimulatedEntries:
    """Entries that see each fleet record one pass after its change.

    Work in flight on a VM that starts to drain ends after a random time, at
    most ``MAX_WORK_S``.

    :ivar demand_slots: number of requests queued and running, by pool
    """

    def __init__(self, fleet, clock, rng, count, mean_work_s) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._mean_work_s = mean_work_s
        self._names = [f"entry-{n}" for n in range(count)]
        self._idle_at_s: dict[tuple[str, str], float] = {}
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.demand_slots: dict[str, float] = {}

    def members(self) -> MembersRecord:
        """Return the members record that lists the entries."""
        return MembersRecord(
            members={
                name: Member(
                    name=name,
                    kind=MemberKind.ENTRY,
                    incarnation="1",
                    vm=f"vm-{name}",
                    vm_instance="1",
                    data_centre="one",
                    peer_address="",
                )
                for name in self._names
            }
        )

    def send_heartbeats(self) -> None:
        """Publish each entry's known revisions, demand and work in flight."""
        draining = {
            (name, vm.operation_id)
            for name, vm in self._fleet.record.vms.items()
            if vm.state is VmState.DRAINING
        }
        now_s = self._clock.monotonic_s()
        for key in draining - self._idle_at_s.keys():
            work_s = self._rng.expovariate(1 / self._mean_work_s)
            self._idle_at_s[key] = now_s + min(MAX_WORK_S, work_s)
        self._idle_at_s = {
            key: at_s
            for key, at_s in self._idle_at_s.items()
            if key in draining
        }
        busy = {
            vm: 1 for (vm, _), at_s in self._idle_at_s.items() if at_s > now_s
        }
        for number, name in enumerate(self._names):
            heartbeat = Heartbeat(
                sender=name,
                incarnation="1",
                sequence=1,
                members_revision=1,
                config_version=1,
                fleet_revision=self._fleet.revision,
                store_age_s=0.0,
                demand=self._rows() if not number else (),
                running_by_vm=busy if not number else {},
            )
            self._heartbeats[name] = ReceivedHeartbeat(
                heartbeat=heartbeat, age_s=0.0
            )

    def heard(self) -> dict[str, ReceivedHeartbeat]:
        """Return the latest heartbeat of each entry."""
        return self._heartbeats

    def _rows(self) -> tuple[DemandRow, ...]:
        return tuple(
            DemandRow(
                pool=pool,
                team="all",
                queued_requests=int(slots),
                running_requests=0,
                served_worth=0.0,
                slot_s=0.0,
            )
            for pool, slots in self.demand_slots.items()
        )


class NoJobs:
    """Job controller of a fleet without jobs."""

    def step(self, leads, document, record):
        """Do nothing."""

    def busy_workers(self):
        """Return the empty set."""
        return frozenset()


class FleetSimulation:
    """A leading control loop over a simulated fleet.

    :param reboot_s: shortest and longest duration of a reboot
    :param mean_work_s: mean time until a draining VM is idle
    :param make_jobs: factory of the job controller, called with this
        simulation; None for a fleet without jobs
    """

    def __init__(
        self,
        document: Document,
        waves: WavePolicy,
        moves: MovePolicy,
        seed: int,
        reboot_s: tuple[float, float] = (50.0, 70.0),
        mean_work_s: float = 2.0,
        entries: int = 6,
        make_jobs: Callable | None = None,
    ) -> None:
        rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.store = SimulatedStore()
        self.records = RecordStore(self.store, self.clock, rng)
        self.fleet = FleetView()
        self.vms = SimulatedVms(document, self.clock, rng, reboot_s)
        self.entries = SimulatedEntries(
            self.fleet, self.clock, rng, entries, mean_work_s
        )
        members = MembersView()
        members.apply(self.entries.members(), 1)
        self.store.put(MEMBERS_KEY, codec.encode(self.entries.members()), 0)
        in_force = self.in_force = ConfigInForce()
        version = ConfigVersion(
            version=1,
            digest="",
            change_id="",
            operator="",
            reason="",
            accepted_at_s=0.0,
        )
        in_force.apply(ConfigPointer(current=version), document)
        self.loop = ControlLoop(
            self.records,
            FleetSources(
                in_force=in_force,
                fleet=self.fleet,
                members=members,
                heard=self.entries.heard,
                vms=self.vms,
            ),
            Policies(waves=waves, moves=moves),
            Leadership(self.store, self.clock, "control"),
            make_jobs(self) if make_jobs else NoJobs(),
            OWN_VM,
            self.clock,
            rng,
        )
        for _ in range(4):
            self.step()

    def step(self) -> None:
        """Send heartbeats, run a pass and advance the clock by a second."""
        self.entries.send_heartbeats()
        self.loop.step()
        self.clock.sleep(1.0)

    def record_bytes(self) -> int:
        """Return the compressed size of the fleet record."""
        return len(zlib.compress(codec.encode(self.fleet.record)))
