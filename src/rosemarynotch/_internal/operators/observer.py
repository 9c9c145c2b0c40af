"""Builds the snapshot for operators from the state known to this entry."""

from typing import Callable
from typing import Protocol

from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.configuration import Freshness
from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.operators.shares import ShareMeter
from rosemarynotch._internal.operators.snapshot import FleetSnapshot
from rosemarynotch._internal.operators.snapshot import MemberState
from rosemarynotch._internal.operators.snapshot import PoolState
from rosemarynotch._internal.operators.snapshot import TeamState
from rosemarynotch._internal.operators.snapshot import Usage
from rosemarynotch._internal.operators.snapshot import VmOutOfService
from rosemarynotch._internal.operators.snapshot import WaveProgress
from rosemarynotch._internal.peers import Timing
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Observer"]


class _ReceivedHeartbeat(Protocol):
    heartbeat: Heartbeat
    age_s: float


class Observer:
    """Combines the heartbeats of all members with the fleet record.

    :param received: returns the last heartbeat of each other member, with its
        age
    :param own_heartbeat: returns the current heartbeat of this entry
    """

    def __init__(
        self,
        environment: str,
        in_force: ConfigInForce,
        fleet: FleetView,
        members: MembersView,
        freshness: Freshness,
        received: Callable[[], dict[str, _ReceivedHeartbeat]],
        own_heartbeat: Callable[[], Heartbeat],
        clock: Clock,
    ) -> None:
        self._environment = environment
        self._in_force = in_force
        self._fleet = fleet
        self._members = members
        self._freshness = freshness
        self._received = received
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._meter = ShareMeter(clock)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Sample the served worth if a sample is due.

        This is a heartbeat listener. The heartbeat only triggers the check;
        a sample covers the last heartbeats of all members.
        """
        if self._meter.is_due():
            heartbeats = self._last_heartbeats().values()
            self._meter.sample([beat for beat, _ in heartbeats])

    def snapshot(self) -> FleetSnapshot:
        """Return the current state."""
        heartbeats = self._last_heartbeats()
        document = self._in_force.current.document
        members = self._member_states(heartbeats)
        version = max(
            [self._in_force.current.version]
            + [beat.config_version for beat, _ in heartbeats.values()]
        )
        running = _sums(heartbeats, "team", "running_requests")
        queued = _sums(heartbeats, "team", "queued_requests")
        teams = tuple(
            TeamState(
                name=team.name,
                limit_requests=team.limit_requests,
                running_requests=running.get(team.name, 0),
                queued_requests=queued.get(team.name, 0),
            )
            for team in document.teams
        )
        at_limit = frozenset(
            team.name
            for team in teams
            if team.running_requests >= team.limit_requests
        )
        return FleetSnapshot(
            environment=self._environment,
            time_s=self._clock.wall_s(),
            version=version,
            accepted_at_s=self._accepted_at_s(version),
            store_age_s=self._freshness.store_age_s(),
            fleet_revision=max(
                [self._fleet.revision]
                + [beat.fleet_revision for beat, _ in heartbeats.values()]
            ),
            silent_after_s=self._silent_after_s(),
            members=members,
            pools=self._pool_states(heartbeats),
            teams=teams,
            shares=self._meter.shares(document, at_limit),
            shares_measured=self._meter.is_measured(),
            waves=self._wave_progress(),
            vms_out=self._vms_out(heartbeats),
            control_alarms=self._control_alarms(heartbeats),
        )

    def usage(self) -> Usage:
        """Return the usage that determines the consequences of a change."""
        heartbeats = self._last_heartbeats()
        running = _sums(heartbeats, "pool", "running_requests")
        queued = _sums(heartbeats, "pool", "queued_requests")
        serving: dict[str, set[str]] = {}
        for name, vm in self._fleet.record.vms.items():
            if vm.state is VmState.SERVING:
                serving.setdefault(vm.pool, set()).add(name)
        return Usage(
            complete=not self.snapshot().silent and self._fleet.revision > 0,
            running_by_team=_sums(heartbeats, "team", "running_requests"),
            queued_by_team=_sums(heartbeats, "team", "queued_requests"),
            work_by_pool={
                pool: running[pool] + queued[pool] for pool in running
            },
            serving_by_pool={
                pool: frozenset(names) for pool, names in serving.items()
            },
        )

    def _last_heartbeats(self) -> dict[str, tuple[Heartbeat, float]]:
        """Return the last heartbeat of each member, with its age.

        The current heartbeat of this entry is included. So are old ones of
        other members, since requests of a silent member are probably still
        running.
        """
        listed = self._members.record.members
        found = {
            name: (item.heartbeat, item.age_s)
            for name, item in self._received().items()
            if name in listed
        }
        own = self._own_heartbeat()
        found[own.sender] = (own, 0.0)
        return found

    def _silent_after_s(self) -> float:
        return Timing().silence_for(len(self._members.entries()))

    def _member_states(self, heartbeats) -> tuple[MemberState, ...]:
        states = []
        for name, member in sorted(self._members.record.members.items()):
            if name not in heartbeats:
                state = MemberState(
                    name=name, kind=str(member.kind), heard_age_s=None
                )
            else:
                beat, age_s = heartbeats[name]
                state = MemberState(
                    name=name,
                    kind=str(member.kind),
                    heard_age_s=age_s,
                    config_version=beat.config_version,
                    fleet_revision=beat.fleet_revision,
                    store_age_s=beat.store_age_s + age_s,
                )
            states.append(state)
        return tuple(states)

    def _control_alarms(self, heartbeats) -> tuple[str, ...]:
        """Return the alarms of members with a recent heartbeat.

        Alarms of a silent member may be outdated: it may no longer lead, or
        the alarm may have ended.
        """
        silent_after_s = self._silent_after_s()
        alarms = {
            alarm
            for beat, age_s in heartbeats.values()
            for alarm in beat.alarms
            if age_s <= silent_after_s
        }
        return tuple(sorted(alarms))

    def _accepted_at_s(self, version: int) -> float:
        pointer = self._in_force.current.pointer
        if pointer is None or pointer.current.version != version:
            return 0.0
        return pointer.current.accepted_at_s

    def _pool_states(self, heartbeats) -> tuple[PoolState, ...]:
        ejected = {
            vm for beat, _ in heartbeats.values() for vm in beat.ejected_vms
        }
        running = _sums(heartbeats, "pool", "running_requests")
        queued = _sums(heartbeats, "pool", "queued_requests")
        return tuple(
            self._pool_state(pool, ejected, running, queued)
            for pool in self._in_force.current.document.pools
        )

    def _pool_state(self, pool: PoolSpec, ejected, running, queued):
        vms = {
            name: vm
            for name, vm in self._fleet.record.vms.items()
            if vm.pool == pool.name
        }
        out: dict[str, tuple[str, ...]] = {}
        serving = []
        for name, vm in sorted(vms.items()):
            if vm.state is VmState.SERVING:
                serving.append(name)
            else:
                state = str(vm.state)
                out[state] = (*out.get(state, ()), name)
        return PoolState(
            name=pool.name,
            min_available_vms=pool.min_available_vms,
            total_vms=len(vms),
            serving_vms=len(serving),
            ejected_vms=tuple(name for name in serving if name in ejected),
            out_vms=out,
            running_requests=running.get(pool.name, 0),
            queued_requests=queued.get(pool.name, 0),
        )

    def _vms_out(self, heartbeats) -> tuple[VmOutOfService, ...]:
        running: dict[str, int] = {}
        for beat, _ in heartbeats.values():
            for name, count in beat.running_by_vm.items():
                running[name] = running.get(name, 0) + count
        return tuple(
            VmOutOfService(
                name=name,
                state=str(vm.state),
                running_requests=running.get(name, 0),
            )
            for name, vm in sorted(self._fleet.record.vms.items())
            if vm.state is not VmState.SERVING
        )

    def _wave_progress(self) -> tuple[WaveProgress, ...]:
        document = self._in_force.current.document
        record = self._fleet.record
        waves = []
        for name, wave in sorted(record.waves.items()):
            spec = document.wave(name)
            pools = spec.pools if spec else ()
            total = sum(vm.pool in pools for vm in record.vms.values())
            waves.append(
                WaveProgress(
                    name=name,
                    state=str(wave.state),
                    done_vms=len(wave.done_vms),
                    total_vms=max(total, len(wave.done_vms)),
                    held_by=wave.held_by,
                )
            )
        return tuple(waves)


def _sums(heartbeats, group: str, field: str) -> dict[str, int]:
    """Return the sum of a field over all demand rows, by pool or team."""
    sums: dict[str, int] = {}
    for beat, _ in heartbeats.values():
        for row in beat.demand:
            name = getattr(row, group)
            sums[name] = sums.get(name, 0) + getattr(row, field)
    return sums
