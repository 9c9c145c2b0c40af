"""Evaluation of a snapshot: promises at risk, missing data and warnings."""

import enum
from typing import Iterator

import attrs

from rosemarynotch._internal.operators.snapshot import ENTRY
from rosemarynotch._internal.operators.snapshot import FleetSnapshot

__all__ = [
    "Alarm",
    "format_duration",
    "evaluate_snapshot",
    "Finding",
    "format_last_seen",
    "Level",
]

# P10: a configuration is in force on all members within 18 s.
MAX_SPREAD_S = 18.0
# Rule R6: an entry without store contact for longer may stop accepting
# requests.
MAX_STORE_AGE_S = 10.0
# The target for shares: over one minute, no team gets over 5 % less than its
# share.
MAX_SHARE_SHORTFALL = 0.05
LIMIT_NEARLY_USED = 0.9
# Store age in heartbeats of members that have had no store contact yet.
NO_CONTACT_AGE_S = 1e9


class Level(enum.IntEnum):
    """Severity of a finding; the report lists lower values first."""

    RISK = 0
    NOT_KNOWN = 1
    WARNING = 2


class Alarm(enum.StrEnum):
    """Kinds of findings, explained in docs/OPERATIONS.md."""

    BUDGET_BROKEN = "budget-broken"
    LIMIT_EXCEEDED = "limit-exceeded"
    STORE_DOWN = "store-down"
    VERSION_BEHIND = "version-behind"
    UNDER_SHARE = "under-share"
    NO_CONFIGURATION = "no-configuration"
    NO_FLEET_RECORD = "no-fleet-record"
    MEMBER_SILENT = "member-silent"
    STORE_OLD = "store-old"
    WAVE_HELD = "wave-held"
    FLEET_BEHIND = "fleet-behind"
    VM_FAILED = "vm-failed"
    VM_LIST = "vm-list"
    BUDGET_USED = "budget-used"
    LIMIT_NEARLY_USED = "limit-nearly-used"
    VERSION_SPREADING = "version-spreading"


@attrs.frozen(kw_only=True)
class Finding:
    """A problem that the report shows.

    :ivar promise: the promise at risk, such as ``P1``; empty if none is
    """

    level: Level
    alarm: Alarm
    text: str
    promise: str = ""


def evaluate_snapshot(snapshot: FleetSnapshot) -> list[Finding]:
    """Return all findings, most severe first."""
    findings = [
        *_missing_data(snapshot),
        *_store(snapshot),
        *_versions(snapshot),
        *_teams(snapshot),
        *_shares(snapshot),
        *_waves(snapshot),
    ]
    if snapshot.fleet_revision:
        findings += _pools(snapshot)
    return sorted(findings, key=lambda item: item.level)


def _missing_data(snapshot: FleetSnapshot) -> Iterator[Finding]:
    if not snapshot.version:
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.NO_CONFIGURATION,
            text="No configuration is known here",
        )
    if not snapshot.fleet_revision:
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.NO_FLEET_RECORD,
            text="VM states are not known here",
        )
    if not snapshot.members:
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.MEMBER_SILENT,
            text="No members are known here",
        )
    for alarm in snapshot.control_alarms:
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.VM_LIST,
            text=f"New VM failures are not seen: {alarm}",
        )
    for member in snapshot.silent:
        age_s = member.heard_age_s
        when = "never heard"
        if age_s is not None:
            when = f"silent for {format_duration(age_s)}"
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.MEMBER_SILENT,
            text=f"{member.name}: {when}",
        )
    has_control = any(member.kind != ENTRY for member in snapshot.members)
    if has_control and not snapshot.has_leading_control:
        yield Finding(
            level=Level.NOT_KNOWN,
            alarm=Alarm.MEMBER_SILENT,
            text="No control is heard, none may lead",
        )


def _store(snapshot: FleetSnapshot) -> Iterator[Finding]:
    if snapshot.store_age_s > MAX_STORE_AGE_S:
        yield Finding(
            level=Level.RISK,
            alarm=Alarm.STORE_DOWN,
            promise="P10",
            text=f"Store {format_last_seen(snapshot.store_age_s)}:"
            " no changes, waves or new jobs",
        )
        return
    silent = {member.name for member in snapshot.silent}
    for member in snapshot.expected:
        if member.name in silent or member.store_age_s <= MAX_STORE_AGE_S:
            continue
        yield Finding(
            level=Level.WARNING,
            alarm=Alarm.STORE_OLD,
            text=f"{member.name}: store"
            f" {format_last_seen(member.store_age_s)}",
        )


def _versions(snapshot: FleetSnapshot) -> Iterator[Finding]:
    silent = {member.name for member in snapshot.silent}
    is_late = snapshot.time_s - snapshot.accepted_at_s > MAX_SPREAD_S
    for member in snapshot.expected:
        if member.name in silent:
            continue
        if member.config_version < snapshot.version:
            yield Finding(
                level=Level.RISK if is_late else Level.WARNING,
                alarm=(
                    Alarm.VERSION_BEHIND
                    if is_late
                    else Alarm.VERSION_SPREADING
                ),
                promise="P10" if is_late else "",
                text=f"{member.name} has v{member.config_version},"
                f" newest is v{snapshot.version}",
            )
        is_draining = any(
            "draining" in pool.out_vms for pool in snapshot.pools
        )
        if is_draining and member.fleet_revision < snapshot.fleet_revision:
            yield Finding(
                level=Level.WARNING,
                alarm=Alarm.FLEET_BEHIND,
                text=f"{member.name} does not know all drains yet",
            )


def _pools(snapshot: FleetSnapshot) -> Iterator[Finding]:
    for pool in snapshot.pools:
        usable, needed = pool.usable_vms, pool.min_available_vms
        ejected = len(pool.ejected_vms)
        if usable < needed:
            why = _out_text(pool.out_vms)
            if ejected:
                why = f"{why}, {ejected} ejected".removeprefix(", ")
            yield Finding(
                level=Level.RISK,
                alarm=Alarm.BUDGET_BROKEN,
                promise="P1",
                text=f"{pool.name}: {usable} VMs usable, needs {needed}"
                + (f" ({why})" if why else ""),
            )
        elif usable == needed and usable < pool.total_vms:
            yield Finding(
                level=Level.WARNING,
                alarm=Alarm.BUDGET_USED,
                text=f"{pool.name}: {usable} VMs usable, none to spare",
            )
        failed = pool.out_vms.get("failed", ())
        if failed:
            names = ", ".join(failed[:3]) + (" ..." if failed[3:] else "")
            yield Finding(
                level=Level.WARNING,
                alarm=Alarm.VM_FAILED,
                text=f"{pool.name}: {len(failed)} failed: {names}",
            )


def _out_text(out_vms: dict[str, tuple[str, ...]]) -> str:
    return ", ".join(
        f"{len(names)} {state}" for state, names in sorted(out_vms.items())
    )


def _teams(snapshot: FleetSnapshot) -> Iterator[Finding]:
    for team in snapshot.teams:
        running, limit = team.running_requests, team.limit_requests
        if running > limit:
            yield Finding(
                level=Level.RISK,
                alarm=Alarm.LIMIT_EXCEEDED,
                promise="P4",
                text=f"{team.name}: {running} running, limit {limit}",
            )
        elif running and running >= LIMIT_NEARLY_USED * limit:
            yield Finding(
                level=Level.WARNING,
                alarm=Alarm.LIMIT_NEARLY_USED,
                text=f"{team.name}: {running} of limit {limit} running",
            )


def _shares(snapshot: FleetSnapshot) -> Iterator[Finding]:
    for share in sorted(snapshot.shares, key=lambda item: item.deviation):
        if share.deviation < -MAX_SHARE_SHORTFALL:
            yield Finding(
                level=Level.RISK,
                alarm=Alarm.UNDER_SHARE,
                promise="share",
                text=f"{share.team}: {-share.deviation:.0%} under share"
                f" in {share.pool}",
            )


def _waves(snapshot: FleetSnapshot) -> Iterator[Finding]:
    for wave in snapshot.waves:
        is_open = wave.state in ("running", "paused")
        if is_open and (wave.held_by or wave.state == "paused"):
            why = wave.held_by or "paused by an operator"
            yield Finding(
                level=Level.WARNING,
                alarm=Alarm.WAVE_HELD,
                text=f"Wave {wave.name} held: {why}",
            )


def format_duration(seconds: float) -> str:
    """Format a duration as text, such as ``14 s`` or ``3 min``."""
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.0f} h"


def format_last_seen(age_s: float) -> str:
    """Format the age of the last contact as text."""
    if age_s >= NO_CONTACT_AGE_S:
        return "not seen since the start"
    return f"last seen {format_duration(age_s)} ago"
