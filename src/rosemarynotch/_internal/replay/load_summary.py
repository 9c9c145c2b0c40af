"""What generated load has shown: shares, goodput, latency, refusals."""

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
from rosemarynotch._internal.replay.summary import latency
from rosemarynotch._internal.replay.summary import Latency
from rosemarynotch._internal.replay.summary import row
from rosemarynotch._internal.replay.summary import short

__all__ = ["format_load", "LoadSummary", "PoolSummary", "summarize_load"]


@attrs.frozen(kw_only=True)
class PoolSummary:
    """Service of one pool by team, in worth per second."""

    served: dict[str, float]
    fair: dict[str, float]
    relative_distance: dict[str, float]
    mean_distance: float
    worst_distance: float


@attrs.frozen(kw_only=True)
class LoadSummary:
    """Figures of one run, for a file and for comparisons."""

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
        latency_by_team={name: latency(them) for name, them in teams.items()},
        codes=dict(Counter(result.code for result in results)),
        pools={
            service: _pool(profile, service, results)
            for service in sorted({c.service for c in profile.classes})
        },
    )


def format_load(summary: LoadSummary, results: list[Result]) -> str:
    """Return the report on a run."""
    lines = []
    for name, pool in summary.pools.items():
        lines += [f"pool {name}, worth/s", row("team", "fair", "got", "off%")]
        for team, off in pool.relative_distance.items():
            cells = (pool.fair[team], pool.served.get(team, 0.0), off * 100)
            lines.append(row(team, *(short(cell) for cell in cells)))
        lines.append(row("mean", "", "", f"{pool.mean_distance * 100:.1f}"))
        lines.append(row("worst", "", "", f"{pool.worst_distance * 100:.1f}"))
        lines.append("")
    lines += format_latency(results, lambda result: result.row.team)
    lines += [""] + format_codes(results)
    lines.append(f"goodput: {summary.answered_per_s:.1f} requests/s")
    lines.append(f"         {summary.worth_per_s:.1f} worth/s")
    return "\n".join(lines)


def _pool(profile, service, results) -> PoolSummary:
    classes = [each for each in profile.classes if each.service == service]
    served: dict[str, float] = {each.team: 0.0 for each in classes}
    arrived: dict[str, float] = dict(served)
    for result in results:
        if result.row.service != service:
            continue
        worth = result.row.worth / profile.measured_s
        if result.is_answered:
            served[result.row.team] += worth
        if result.row.offset_ms:
            arrived[result.row.team] += worth
    found = _distance(served, arrived, classes)
    return PoolSummary(
        served=served,
        fair=found.fair,
        relative_distance=found.relative,
        mean_distance=found.mean,
        worst_distance=found.worst,
    )


def _distance(served, arrived, classes: list[LoadClass]) -> Distance:
    """Compare service with shares, within what each team asked for.

    :param arrived: worth of the requests of open loops, by team
    """
    shares = {each.team: each.share for each in classes}
    demands = dict(arrived)
    for each in classes:
        demands[each.team] += _closed_demand(each)
    limits = {each.team: _limit(each) for each in classes}
    demands = {team: min(demands[team], limits[team]) for team in demands}
    return distance(served, shares, demands)


def _closed_demand(each: LoadClass) -> float:
    """Return the worth per second that callers in a loop get at most."""
    return each.callers * _worth_per_slot(each)


def _limit(each: LoadClass) -> float:
    """Return the worth per second that the team's limit allows."""
    if not each.limit_requests:
        return math.inf
    return each.limit_requests * _worth_per_slot(each)


def _worth_per_slot(each: LoadClass) -> float:
    return each.worth * 1000 / each.work_ms
