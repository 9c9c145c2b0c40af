"""Creation of the heartbeats of a member."""

import itertools
from typing import Callable

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.wiring.process import MemberProcess

__all__ = ["HeartbeatSource"]

# Largest age that is sent. It replaces the infinite age of a store that was
# never reached.
MAX_AGE_S = 1e9


class HeartbeatSource:
    """Creates heartbeats from the state of this member.

    :param demand: returns the demand rows
    :param running_by_vm: returns the requests in flight on VMs that are not
        serving
    :param short_teams: returns the teams that wait for a permit
    :param ejected_vms: returns the targets that this member avoids
    :param alarms: returns the alarms for operators
    """

    def __init__(
        self,
        process: MemberProcess,
        demand: Callable[[], tuple[DemandRow, ...]],
        running_by_vm: Callable[[], dict[str, int]],
        short_teams: Callable[[], tuple[str, ...]],
        ejected_vms: Callable[[], tuple[str, ...]],
        alarms: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self._process = process
        self._demand = demand
        self._running_by_vm = running_by_vm
        self._short_teams = short_teams
        self._ejected_vms = ejected_vms
        self._alarms = alarms
        self._sequence = itertools.count(1)

    def __call__(self) -> Heartbeat:
        """Return a heartbeat with the current state."""
        process = self._process
        # Read the revision before the requests in flight: control considers a
        # VM drained when members with this revision report no requests on it.
        fleet_revision = process.fleet.revision
        me = process.membership.me
        return Heartbeat(
            sender=me.name,
            incarnation=me.incarnation,
            sequence=next(self._sequence),
            members_revision=process.members.revision,
            config_version=process.in_force.current.version,
            fleet_revision=fleet_revision,
            store_age_s=min(process.freshness.store_age_s(), MAX_AGE_S),
            demand=self._demand(),
            running_by_vm=self._running_by_vm(),
            short_teams=self._short_teams(),
            ejected_vms=self._ejected_vms(),
            alarms=self._alarms(),
        )
