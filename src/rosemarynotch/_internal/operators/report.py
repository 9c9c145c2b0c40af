"""The plain-text report for small screens, most severe findings first."""

import textwrap
import time

from rosemarynotch._internal.operators.findings import evaluate_snapshot
from rosemarynotch._internal.operators.findings import Finding
from rosemarynotch._internal.operators.findings import format_duration
from rosemarynotch._internal.operators.findings import format_last_seen
from rosemarynotch._internal.operators.findings import Level
from rosemarynotch._internal.operators.snapshot import FleetSnapshot

__all__ = ["MAX_LINES", "report_lines", "WIDTH"]

WIDTH = 40
MAX_LINES = 20
MAX_WAVES = 3
MAX_DRAINS = 2


def report_lines(snapshot: FleetSnapshot) -> list[str]:
    """Return the lines of the report.

    It has at most :data:`MAX_LINES` lines of at most :data:`WIDTH`
    characters. Findings that do not fit are replaced by a line with
    their number.
    """
    findings = evaluate_snapshot(snapshot)
    when = time.strftime("%d %b %H:%M", time.gmtime(snapshot.time_s))
    head = _wrap(f"{snapshot.environment} {when} UTC") + _verdict(findings)
    facts = [line for fact in _facts(snapshot) for line in _wrap(fact)]
    max_lines = MAX_LINES - len(head) - len(facts)
    return head + _fit_findings(findings, max_lines) + facts


def _verdict(findings: list[Finding]) -> list[str]:
    risks = [item for item in findings if item.level is Level.RISK]
    gaps = [item for item in findings if item.level is Level.NOT_KNOWN]
    lines = []
    if risks:
        promises = sorted({item.promise for item in risks}, key=_promise_key)
        lines += _wrap("AT RISK: " + " ".join(promises))
    if gaps:
        lines += _wrap(f"NOT KNOWN: {_count(len(gaps), 'gap')} in the data")
    if not lines:
        warnings = _count(len(findings), "warning")
        lines = ["No promise at risk"]
        if findings:
            lines = [f"No promise at risk, {warnings}"]
    return lines


def _count(number: int, word: str) -> str:
    return f"{number} {word}" + ("" if number == 1 else "s")


def _promise_key(promise: str) -> tuple[bool, int]:
    number = promise.removeprefix("P")
    return (not number.isdigit(), int(number) if number.isdigit() else 0)


def _fit_findings(findings: list[Finding], max_lines: int) -> list[str]:
    lines: list[str] = []
    for index, item in enumerate(findings):
        prefix = f"{item.promise} " if item.promise else ""
        item_lines = _wrap(f"! {prefix}{item.text}")
        is_last = index + 1 == len(findings)
        if len(lines) + len(item_lines) > max_lines - (not is_last):
            omitted_count = len(findings) - index
            return lines + [f"! and {omitted_count} more, see status"]
        lines += item_lines
    return lines


def _facts(snapshot: FleetSnapshot):
    expected = snapshot.expected
    heard = len(expected) - len(snapshot.silent)
    ages = [
        member.heard_age_s
        for member in expected
        if member.heard_age_s is not None
    ]
    oldest = f", oldest {format_duration(max(ages))}" if ages else ""
    yield f"Heard: {heard} of {len(expected)}{oldest}"
    yield f"Store: {format_last_seen(snapshot.store_age_s)}"
    count, total = snapshot.in_force(snapshot.version)
    if snapshot.version:
        yield f"Config: v{snapshot.version} on {count} of {total}"
    if snapshot.fleet_revision:
        yield from _vm_facts(snapshot)
    yield from _team_facts(snapshot)
    drains = [vm for vm in snapshot.vms_out if vm.running_requests]
    drains.sort(key=lambda vm: -vm.running_requests)
    for vm in drains[:MAX_DRAINS]:
        yield f"{vm.state} {vm.name}: {vm.running_requests} running"
    if drains[MAX_DRAINS:]:
        yield f"and {len(drains) - MAX_DRAINS} more VMs with requests"
    waves = [w for w in snapshot.waves if w.state in ("running", "paused")]
    for wave in waves[:MAX_WAVES]:
        yield (
            f"Wave {wave.name}: {wave.done_vms} of {wave.total_vms}"
            f" done, {wave.state}"
        )
    if waves[MAX_WAVES:]:
        yield f"and {len(waves) - MAX_WAVES} more waves"


def _vm_facts(snapshot: FleetSnapshot):
    total = sum(pool.total_vms for pool in snapshot.pools)
    serving = sum(pool.serving_vms for pool in snapshot.pools)
    yield f"VMs: {serving} of {total} serve"
    guarded = [pool for pool in snapshot.pools if pool.min_available_vms]
    if guarded:
        tightest = min(
            guarded, key=lambda pool: pool.usable_vms - pool.min_available_vms
        )
        yield (
            f"Least to spare: {tightest.name},"
            f" {tightest.usable_vms} for {tightest.min_available_vms}"
        )


def _team_facts(snapshot: FleetSnapshot):
    running = sum(team.running_requests for team in snapshot.teams)
    queued = sum(team.queued_requests for team in snapshot.teams)
    which = " of heard members" if snapshot.silent else ""
    yield f"Requests{which}: {running} running, {queued} waiting"
    limited = [
        team
        for team in snapshot.teams
        if team.limit_requests and team.running_requests
    ]
    if limited:
        nearest = max(
            limited,
            key=lambda team: team.running_requests / team.limit_requests,
        )
        yield (
            f"Nearest limit: {nearest.name},"
            f" {nearest.running_requests} of {nearest.limit_requests}"
        )
    if snapshot.shares:
        lowest = min(snapshot.shares, key=lambda item: item.deviation)
        yield f"Lowest share: {lowest.team}, {lowest.deviation:+.1%}"
    elif snapshot.shares_measured:
        yield "Shares: no two teams wait in one pool"
    else:
        yield "Shares: not measured yet"


def _wrap(text: str) -> list[str]:
    return textwrap.wrap(
        text, WIDTH, subsequent_indent="  ", break_on_hyphens=False
    )
