"""Builds the heartbeats of a member."""

import itertools
from typing import Callable

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.wiring.process import MemberProcess

__all__ = ["HeartbeatSource"]

# Keeps the age of a store that was never reached a finite number.
MAX_AGE_S = 1e9


class HeartbeatSource:
    """Collects what the other members need to know.

    :param demand: returns the demand rows
    :param running_by_vm: returns requests in flight on VMs that do not serve
    :param short_teams: returns teams that wait for a permit
    :param ejected_vms: returns targets that this member avoids
    :param alarms: returns what an operator has to look at
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
        """Return the heartbeat of this moment."""
        process = self._process
        # The revision is read before the requests in flight: control drains
        # a VM once a member that knows the revision has nothing there.
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
