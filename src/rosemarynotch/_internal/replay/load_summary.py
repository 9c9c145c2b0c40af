"""Summarizes generated load: shares, goodput, latency and refusals."""

from collections import Counter
import math

import attrs

from rosemarynotch._internal.replay.load import LoadClass
from rosemarynotch._internal.replay.load import LoadProfile
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.shares import Distance
from rosemarynotch._internal.replay.shares import distance
from rosemarynotch._internal.replay.summary import by_group
from rosemarynotch._internal.replay.summary import format_codes
from rosemarynotch._internal.replay.summary import format_latency
from rosemarynotch._internal.replay.summary import format_number
from rosemarynotch._internal.replay.summary import latency
from rosemarynotch._internal.replay.summary import Latency
from rosemarynotch._internal.replay.summary import table_row

__all__ = ["format_load", "LoadSummary", "PoolSummary", "summarize_load"]


@attrs.frozen(kw_only=True)
class PoolSummary:
    """Service that teams got from one pool, in worth per second.

    :ivar fair: service by weighted max-min shares
    :ivar relative_distance: by team, |served - fair| / fair
    """

    served: dict[str, float]
    fair: dict[str, float]
    relative_distance: dict[str, float]
    mean_distance: float
    worst_distance: float


@attrs.frozen(kw_only=True)
class LoadSummary:
    """Figures of one run, as written to the results file."""

    measured_s: float
    answered_per_s: float
    worth_per_s: float
    latency: Latency
    latency_by_team: dict[str, Latency]
    codes: dict[str, int]
    pools: dict[str, PoolSummary]


def summarize_load(profile: LoadProfile, results: list[Result]) -> LoadSummary:
    """Return the figures of a run."""
    answered = [result for result in results if result.is_answered]
    teams = by_group(results, lambda result: result.row.team)
    worth = sum(result.row.worth for result in answered)
    return LoadSummary(
        measured_s=profile.measured_s,
        answered_per_s=len(answered) / profile.measured_s,
        worth_per_s=worth / profile.measured_s,
        latency=latency(results),
        latency_by_team={
            name: latency(group) for name, group in teams.items()
        },
        codes=dict(Counter(result.code for result in results)),
        pools={
            service: _summarize_pool(profile, service, results)
            for service in sorted({c.service for c in profile.classes})
        },
    )


def format_load(summary: LoadSummary, results: list[Result]) -> str:
    """Return the report on a run as text."""
    lines = []
    for name, pool in summary.pools.items():
        lines += [
            f"pool {name}, worth/s",
            table_row("team", "fair", "got", "off%"),
        ]
        for team, off in pool.relative_distance.items():
            cells = (pool.fair[team], pool.served.get(team, 0.0), off * 100)
            lines.append(
                table_row(team, *(format_number(cell) for cell in cells))
            )
        lines.append(
            table_row("mean", "", "", f"{pool.mean_distance * 100:.1f}")
        )
        lines.append(
            table_row("worst", "", "", f"{pool.worst_distance * 100:.1f}")
        )
        lines.append("")
    lines += format_latency(results, lambda result: result.row.team)
    lines += [""] + format_codes(results)
    lines.append(f"goodput: {summary.answered_per_s:.1f} requests/s")
    lines.append(f"         {summary.worth_per_s:.1f} worth/s")
    return "\n".join(lines)


def _summarize_pool(profile, service, results) -> PoolSummary:
    classes = [
        load_class
        for load_class in profile.classes
        if load_class.service == service
    ]
    served: dict[str, float] = {load_class.team: 0.0 for load_class in classes}
    arrived: dict[str, float] = dict(served)
    for result in results:
        if result.row.service != service:
            continue
        worth = result.row.worth / profile.measured_s
        if result.is_answered:
            served[result.row.team] += worth
        if result.row.offset_ms:
            arrived[result.row.team] += worth
    distances = _distance(served, arrived, classes)
    return PoolSummary(
        served=served,
        fair=distances.fair,
        relative_distance=distances.relative,
        mean_distance=distances.mean,
        worst_distance=distances.worst,
    )


def _distance(served, arrived, classes: list[LoadClass]) -> Distance:
    """Compare service with the fair shares, limited by demand.

    The demand of a team is at most what its limit allows.

    :param arrived: worth per second of open-loop requests, by team
    """
    shares = {load_class.team: load_class.share for load_class in classes}
    demands = dict(arrived)
    for load_class in classes:
        demands[load_class.team] += _closed_demand(load_class)
    limits = {load_class.team: _limit(load_class) for load_class in classes}
    demands = {team: min(demands[team], limits[team]) for team in demands}
    return distance(served, shares, demands)


def _closed_demand(load_class: LoadClass) -> float:
    """Return the highest worth per second that closed loops can use."""
    return load_class.callers * _worth_per_slot(load_class)


def _limit(load_class: LoadClass) -> float:
    """Return the worth per second that the team's limit allows."""
    if not load_class.limit_requests:
        return math.inf
    return load_class.limit_requests * _worth_per_slot(load_class)


def _worth_per_slot(load_class: LoadClass) -> float:
    """Return the worth per second of one slot that is always in use."""
    return load_class.worth * 1000 / load_class.work_ms
