"""Decides which VMs to hold ready while no load peak is known yet.

This module performs no I/O.
"""

import abc
from collections.abc import Collection
from collections.abc import Mapping
import math

from rosemarynotch._internal.scheduling.model import QueuePolicy

__all__ = ["NoReserve", "StartReserve", "UrgentReserve"]

# Share of the fleet's VMs to hold for each pool with a reserve. A peak takes a
# quarter of the fleet or more and rises in about 2 s, the time in which a VM
# that is ordered comes into use. About half of the peak is needed meanwhile.
FLEET_SHARE = 1 / 10
# Callers that do not come within this time after the long-running tasks of a
# pool are not waited for. Services are started some seconds before their load.
RESERVE_S = 20.0


class StartReserve(abc.ABC):
    """Chooses the VMs to hold before the first load peak."""

    @abc.abstractmethod
    def reserve_vms(
        self,
        queues: Collection[QueuePolicy],
        long_running_vms: Mapping[str, float],
        fleet_vms: int,
        is_peak_known: bool,
        now_s: float,
    ) -> dict[str, float]:
        """Return the VMs to hold ready for arrivals, by pool.

        :param long_running_vms: VMs that long-running tasks fill, by pool
        :param fleet_vms: VMs of the fleet, with those on standby
        :param is_peak_known: whether a load peak was observed, also by an
            earlier leader
        """


class NoReserve(StartReserve):
    """Holds no VMs (baseline)."""

    def reserve_vms(
        self, queues, long_running_vms, fleet_vms, is_peak_known, now_s
    ):
        """Return no VMs."""
        return {}


class UrgentReserve(StartReserve):
    """Holds VMs for the most urgent queues until the first peak is known.

    Intended for the first seconds of traffic. Neither rates nor turns are
    known then, and the VMs that are ordered for the first arrivals serve two
    seconds later, which is more than short jobs can wait. Jobs of less urgent
    queues are longer, and can wait for VMs. Long-running tasks show that a
    pool is about to be used.
    """

    def __init__(self) -> None:
        self._seen_at_s: dict[str, float] = {}

    def reserve_vms(
        self, queues, long_running_vms, fleet_vms, is_peak_known, now_s
    ):
        """Return an equal number of VMs for each pool about to be used."""
        for pool, vms in long_running_vms.items():
            if vms > 0:
                self._seen_at_s.setdefault(pool, now_s)
        if is_peak_known or not queues:
            return {}
        priority = min(queue.priority for queue in queues)
        return {
            queue.pool: math.floor(FLEET_SHARE * fleet_vms)
            for queue in queues
            if queue.priority == priority
            and now_s - self._seen_at_s.get(queue.pool, -math.inf) < RESERVE_S
        }
