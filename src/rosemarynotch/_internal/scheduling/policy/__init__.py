"""Decisions of the leader and the nodes about jobs and VMs.

The modules perform no I/O and do not know the controller. Each one states the
load that it answers.
"""

from rosemarynotch._internal.scheduling.policy.admit import AcceptAll
from rosemarynotch._internal.scheduling.policy.admit import Admission
from rosemarynotch._internal.scheduling.policy.admit import AdmissionDecision
from rosemarynotch._internal.scheduling.policy.admit import BacklogAdmission
from rosemarynotch._internal.scheduling.policy.admit import critical_path_ms
from rosemarynotch._internal.scheduling.policy.admit import FleetAdmission
from rosemarynotch._internal.scheduling.policy.admit import start_delay_ms
from rosemarynotch._internal.scheduling.policy.admit import work_core_ms
from rosemarynotch._internal.scheduling.policy.deadlines import DeadlineOrder
from rosemarynotch._internal.scheduling.policy.deadlines import MostOnTimeOrder
from rosemarynotch._internal.scheduling.policy.deadlines import WeightedOrder
from rosemarynotch._internal.scheduling.policy.demand import Demand
from rosemarynotch._internal.scheduling.policy.demand import measure_demand
from rosemarynotch._internal.scheduling.policy.demand import NO_DEMAND
from rosemarynotch._internal.scheduling.policy.demand import vm_sizes
from rosemarynotch._internal.scheduling.policy.feasible import CompletionCheck
from rosemarynotch._internal.scheduling.policy.feasible import FleetCheck
from rosemarynotch._internal.scheduling.policy.feasible import NoCheck
from rosemarynotch._internal.scheduling.policy.feasible import suits
from rosemarynotch._internal.scheduling.policy.forecast import CycleForecast
from rosemarynotch._internal.scheduling.policy.forecast import ExpectedTurn
from rosemarynotch._internal.scheduling.policy.forecast import NoForecast
from rosemarynotch._internal.scheduling.policy.forecast import TurnForecast
from rosemarynotch._internal.scheduling.policy.horizon import beyond_horizon
from rosemarynotch._internal.scheduling.policy.ordering import ArrivalOrder
from rosemarynotch._internal.scheduling.policy.ordering import Candidate
from rosemarynotch._internal.scheduling.policy.ordering import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.policy.ordering import DrawnOrder
from rosemarynotch._internal.scheduling.policy.ordering import JobOrder
from rosemarynotch._internal.scheduling.policy.ordering import JobSizes
from rosemarynotch._internal.scheduling.policy.ordering import ObjectiveOrder
from rosemarynotch._internal.scheduling.policy.ordering import Urgency
from rosemarynotch._internal.scheduling.policy.pacing import NoPacing
from rosemarynotch._internal.scheduling.policy.pacing import PaceChange
from rosemarynotch._internal.scheduling.policy.pacing import PacePolicy
from rosemarynotch._internal.scheduling.policy.pacing import TailLatencyPacer
from rosemarynotch._internal.scheduling.policy.placement import BestFit
from rosemarynotch._internal.scheduling.policy.placement import FirstFit
from rosemarynotch._internal.scheduling.policy.placement import FreeCapacity
from rosemarynotch._internal.scheduling.policy.placement import Placement
from rosemarynotch._internal.scheduling.policy.placement import PoolCapacity
from rosemarynotch._internal.scheduling.policy.placement import StepPlacer
from rosemarynotch._internal.scheduling.policy.rates import Arrival
from rosemarynotch._internal.scheduling.policy.rates import ArrivalRates
from rosemarynotch._internal.scheduling.policy.rates import RisingRates
from rosemarynotch._internal.scheduling.policy.reserve import NoReserve
from rosemarynotch._internal.scheduling.policy.reserve import StartReserve
from rosemarynotch._internal.scheduling.policy.reserve import UrgentReserve
from rosemarynotch._internal.scheduling.policy.retry import BacklogRetry
from rosemarynotch._internal.scheduling.policy.retry import ExcessRetry
from rosemarynotch._internal.scheduling.policy.retry import memory_retry_s
from rosemarynotch._internal.scheduling.policy.retry import outage_retry_s
from rosemarynotch._internal.scheduling.policy.retry import RoomRetry
from rosemarynotch._internal.scheduling.policy.sharing import KeepPoolsApart
from rosemarynotch._internal.scheduling.policy.sharing import PoolSharing
from rosemarynotch._internal.scheduling.policy.sharing import YieldLateWork
from rosemarynotch._internal.scheduling.policy.sharing import YieldToShortPools
from rosemarynotch._internal.scheduling.policy.sizing import DemandSizer
from rosemarynotch._internal.scheduling.policy.sizing import LargestFirstSizer
from rosemarynotch._internal.scheduling.policy.sizing import Move
from rosemarynotch._internal.scheduling.policy.sizing import PoolLoad
from rosemarynotch._internal.scheduling.policy.sizing import PoolSizer
from rosemarynotch._internal.scheduling.policy.sizing import StaticSizer
from rosemarynotch._internal.scheduling.policy.timeouts import OrderTimeout

__all__ = [
    "AcceptAll",
    "Admission",
    "AdmissionDecision",
    "Arrival",
    "ArrivalOrder",
    "ArrivalRates",
    "BacklogAdmission",
    "BacklogRetry",
    "BestFit",
    "Candidate",
    "CompletionCheck",
    "critical_path_ms",
    "CUTOFF_FACTOR",
    "CycleForecast",
    "DeadlineOrder",
    "Demand",
    "DemandSizer",
    "DrawnOrder",
    "ExcessRetry",
    "ExpectedTurn",
    "FirstFit",
    "FleetAdmission",
    "FleetCheck",
    "FreeCapacity",
    "JobOrder",
    "beyond_horizon",
    "JobSizes",
    "KeepPoolsApart",
    "LargestFirstSizer",
    "measure_demand",
    "MostOnTimeOrder",
    "Move",
    "NO_DEMAND",
    "NoCheck",
    "NoForecast",
    "NoPacing",
    "NoReserve",
    "ObjectiveOrder",
    "OrderTimeout",
    "memory_retry_s",
    "outage_retry_s",
    "PaceChange",
    "PacePolicy",
    "Placement",
    "PoolCapacity",
    "PoolLoad",
    "PoolSharing",
    "PoolSizer",
    "RoomRetry",
    "start_delay_ms",
    "RisingRates",
    "StartReserve",
    "StaticSizer",
    "StepPlacer",
    "suits",
    "TailLatencyPacer",
    "TurnForecast",
    "Urgency",
    "UrgentReserve",
    "vm_sizes",
    "WeightedOrder",
    "work_core_ms",
    "YieldLateWork",
    "YieldToShortPools",
]
