"""Composition of the scheduling policies, with their baselines by name."""

from collections.abc import Mapping

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.scheduling.policies import SchedulingPolicies
from rosemarynotch._internal.scheduling.policy import AcceptAll
from rosemarynotch._internal.scheduling.policy import ArrivalOrder
from rosemarynotch._internal.scheduling.policy import ArrivalRates
from rosemarynotch._internal.scheduling.policy import BacklogAdmission
from rosemarynotch._internal.scheduling.policy import BacklogRetry
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import CycleForecast
from rosemarynotch._internal.scheduling.policy import DeadlineOrder
from rosemarynotch._internal.scheduling.policy import DemandSizer
from rosemarynotch._internal.scheduling.policy import DrawnOrder
from rosemarynotch._internal.scheduling.policy import ExcessRetry
from rosemarynotch._internal.scheduling.policy import FirstFit
from rosemarynotch._internal.scheduling.policy import FleetAdmission
from rosemarynotch._internal.scheduling.policy import FleetCheck
from rosemarynotch._internal.scheduling.policy import KeepPoolsApart
from rosemarynotch._internal.scheduling.policy import LargestFirstSizer
from rosemarynotch._internal.scheduling.policy import MostOnTimeOrder
from rosemarynotch._internal.scheduling.policy import NoCheck
from rosemarynotch._internal.scheduling.policy import NoForecast
from rosemarynotch._internal.scheduling.policy import NoPacing
from rosemarynotch._internal.scheduling.policy import NoReserve
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.scheduling.policy import RisingRates
from rosemarynotch._internal.scheduling.policy import StaticSizer
from rosemarynotch._internal.scheduling.policy import TailLatencyPacer
from rosemarynotch._internal.scheduling.policy import UrgentReserve
from rosemarynotch._internal.scheduling.policy import WeightedOrder
from rosemarynotch._internal.scheduling.policy import YieldLateWork
from rosemarynotch._internal.scheduling.policy import YieldToShortPools

__all__ = ["POLICIES_VARIABLE", "choose_policies"]

# Environment variable with the policies of an experiment.
POLICIES_VARIABLE = "ROSEMARYNOTCH_POLICIES"
# The first choice of each kind is the default.
CHOICES: Mapping[str, Mapping[str, type]] = {
    "admission": {
        "backlog": BacklogAdmission,
        "fleet": FleetAdmission,
        "none": AcceptAll,
    },
    "retry": {"backlog": BacklogRetry, "excess": ExcessRetry},
    "order": {
        "objective": ObjectiveOrder,
        "drawn": DrawnOrder,
        "most-on-time": MostOnTimeOrder,
        "weighted-on-time": WeightedOrder,
        "deadline": DeadlineOrder,
        "arrival": ArrivalOrder,
    },
    "sharing": {
        "apart": KeepPoolsApart,
        "late-last": YieldLateWork,
        "urgent-first": YieldToShortPools,
    },
    "placement": {"best-fit": BestFit, "first-fit": FirstFit},
    "pacing": {"tail-latency": TailLatencyPacer, "none": NoPacing},
    "forecast": {"cycle": CycleForecast, "none": NoForecast},
    "completion": {"fleet": FleetCheck, "none": NoCheck},
    "sizing": {
        "demand": DemandSizer,
        "largest": LargestFirstSizer,
        "static": StaticSizer,
    },
    "rates": {"rising": RisingRates, "present": ArrivalRates},
    "reserve": {"urgent": UrgentReserve, "none": NoReserve},
}


def choose_policies(text: str = "") -> SchedulingPolicies:
    """Return the policies of a node.

    :param text: choices other than the defaults, such as
        ``order=arrival,forecast=none``
    :raises SettingsError: a kind or a name is unknown
    """
    chosen = {kind: next(iter(names)) for kind, names in CHOICES.items()}
    for choice in filter(None, text.split(",")):
        kind, _, name = choice.partition("=")
        if kind not in CHOICES:
            raise SettingsError(
                f"{POLICIES_VARIABLE}: {choice!r} is not KIND=NAME with a kind"
                f" of {', '.join(CHOICES)}"
            )
        if name not in CHOICES[kind]:
            raise SettingsError(
                f"{POLICIES_VARIABLE}: {name!r} is not one of"
                f" {', '.join(CHOICES[kind])} for {kind}"
            )
        chosen[kind] = name
    kinds = {kind: CHOICES[kind][name] for kind, name in chosen.items()}
    return SchedulingPolicies(
        admission=kinds["admission"](),
        room_retry=kinds["retry"](),
        order=kinds["order"](),
        sharing=kinds["sharing"](),
        placer=kinds["placement"](),
        pacer=kinds["pacing"](),
        make_forecast=kinds["forecast"],
        make_sizer=kinds["sizing"],
        make_check=kinds["completion"],
        make_rates=kinds["rates"],
        make_reserve=kinds["reserve"],
    )
