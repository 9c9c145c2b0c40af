"""The policies that a leader uses, and the services that it calls."""

from collections.abc import Callable

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.scheduling.fleet_ports import Advisor
from rosemarynotch._internal.scheduling.fleet_ports import FleetService
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.policy import Admission
from rosemarynotch._internal.scheduling.policy import ArrivalRates
from rosemarynotch._internal.scheduling.policy import CompletionCheck
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import PacePolicy
from rosemarynotch._internal.scheduling.policy import PoolSharing
from rosemarynotch._internal.scheduling.policy import PoolSizer
from rosemarynotch._internal.scheduling.policy import RoomRetry
from rosemarynotch._internal.scheduling.policy import StartReserve
from rosemarynotch._internal.scheduling.policy import StepPlacer
from rosemarynotch._internal.scheduling.policy import TurnForecast
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.records import Turn

__all__ = ["ControllerPorts", "SchedulingPolicies"]


@attrs.frozen(kw_only=True)
class SchedulingPolicies:
    """Policies of a node, those of a leader included.

    :ivar admission: decides which jobs are refused for lack of room
    :ivar room_retry: decides when their callers should come back
    :ivar order: decides which job of a pool starts next
    :ivar sharing: decides which jobs give way to those of other pools
    :ivar placer: decides on which workers its tasks start
    :ivar pacer: sets the pace of best-effort tasks
    :ivar make_forecast: makes the forecast of load peaks from those that an
        earlier leader observed
    :ivar make_sizer: makes the policy of pool sizes; its argument tells
        whether there was no earlier leader
    :ivar make_check: makes the check for jobs that can never complete
    :ivar make_rates: makes the estimate of the rates of arriving work
    :ivar make_reserve: makes the policy of VMs held before the first peak
    """

    admission: Admission
    room_retry: RoomRetry
    order: JobOrder
    sharing: PoolSharing
    placer: StepPlacer
    pacer: PacePolicy
    make_forecast: Callable[[tuple[Turn, ...]], TurnForecast]
    make_sizer: Callable[[bool], PoolSizer]
    make_check: Callable[[], CompletionCheck]
    make_rates: Callable[[], ArrivalRates]
    make_reserve: Callable[[], StartReserve]


@attrs.frozen(kw_only=True)
class ControllerPorts:
    """External services of the leader, and codecs of their data.

    :ivar workers_prefix: prefix of the workers' entries in the store
    :ivar decode_worker: decodes a worker's entry
    :ivar connect_worker: opens a channel to a worker; its second argument
        returns how long an answer to an order is awaited
    :ivar waves_prefix: prefix of maintenance waves in the store
    :ivar wave_status_prefix: prefix of their status in the store
    :ivar evacuations_prefix: prefix of the requests to evacuate data centres
        in the store; if empty, there are none
    :ivar evacuation_bound_s: time after a request from which no task may
        start in its data centre
    :ivar fleet: None if there is no VM service
    :ivar advisor: None if there is no advice service
    """

    store: CoordinationStore
    workers_prefix: str
    decode_worker: Callable[[Item], WorkerEntry | Failure]
    connect_worker: Callable[[WorkerEntry, Callable[[], float]], WorkerChannel]
    waves_prefix: str
    wave_status_prefix: str
    decode_wave: Callable[[Item], Wave | Failure]
    encode_wave_status: Callable[[bool], bytes]
    evacuations_prefix: str = ""
    evacuation_bound_s: float = 0.0
    fleet: FleetService | None = None
    advisor: Advisor | None = None
