"""Differences between two documents, and consequences of a change."""

from typing import Iterator

import attrs

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.operators.snapshot import Usage

__all__ = ["consequences", "differences", "revived_keys"]


def differences(old: Document, new: Document) -> list[str]:
    """Return one line of text for each difference."""
    return [
        *_pool_differences(old, new),
        *_team_differences(old, new),
        *_item_differences("queue", old.queues, new.queues),
        *_item_differences("wave", old.waves, new.waves),
    ]


def consequences(old: Document, new: Document, usage: Usage) -> list[str]:
    """Return the effects of a change that an operator has to confirm.

    These are effects on running and queued requests, on keys and on the
    availability budgets of pools.
    """
    return [
        *_limit_consequences(old, new, usage),
        *_key_consequences(old, new),
        *_pool_consequences(old, new, usage),
        *_budget_consequences(old, new, usage),
    ]


def _pool_differences(old: Document, new: Document) -> Iterator[str]:
    yield from _item_differences("pool", old.pools, new.pools, ("vms",))
    before, after = _vms(old), _vms(new)
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"VM {name} removed from pool {before[name][0]}"
        elif name not in before:
            yield f"VM {name} added to pool {after[name][0]}"
        else:
            (old_pool, old_vm), (new_pool, new_vm) = before[name], after[name]
            if old_pool != new_pool:
                yield f"VM {name}: pool {old_pool} -> {new_pool}"
            yield from _field_differences(f"VM {name}", old_vm, new_vm)


def _vms(document: Document) -> dict[str, tuple[str, VmSpec]]:
    return {
        vm.name: (pool.name, vm) for pool in document.pools for vm in pool.vms
    }


def _team_differences(old: Document, new: Document) -> Iterator[str]:
    yield from _item_differences("team", old.teams, new.teams, ("keys",))
    for team in new.teams:
        before = _keys(old.team(team.name))
        after = _keys(team)
        for key_id in sorted(after.keys() - before.keys()):
            yield f"team {team.name}: key {key_id} given"
        for key_id in sorted(before.keys() - after.keys()):
            yield f"team {team.name}: key {key_id} withdrawn"
        for key_id in sorted(before.keys() & after.keys()):
            if before[key_id] != after[key_id]:
                yield f"team {team.name}: key {key_id} replaced"


def _keys(team: TeamSpec | None) -> dict:
    return {key.key_id: key for key in team.keys} if team else {}


def _item_differences(
    kind: str, old, new, skip: tuple[str, ...] = ()
) -> Iterator[str]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    for name in sorted(before.keys() - after.keys()):
        yield f"{kind} {name} removed"
    for name in sorted(after.keys() - before.keys()):
        yield f"{kind} {name} added"
    for name in sorted(before.keys() & after.keys()):
        yield from _field_differences(
            f"{kind} {name}", before[name], after[name], skip
        )


def _field_differences(title: str, old, new, skip=()) -> Iterator[str]:
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skip and before != after:
            yield (
                f"{title}: {field.name} {_format_value(before)} ->"
                f" {_format_value(after)}"
            )


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return "+".join(str(part) for part in value) or "none"
    return "none" if value == "" else str(value)


def _limit_consequences(old, new, usage: Usage) -> Iterator[str]:
    for team in old.teams:
        running = usage.running_by_team.get(team.name, 0)
        after = new.team(team.name)
        if after is None:
            work = running + usage.queued_by_team.get(team.name, 0)
            if work:
                yield f"team {team.name} removed with {work} requests"
            elif not usage.complete:
                yield f"team {team.name} removed; not known what it runs"
        elif after.limit_requests < team.limit_requests:
            if after.limit_requests < running:
                yield (
                    f"team {team.name}: limit {after.limit_requests} is under"
                    f" the {running} running"
                )
            elif not usage.complete:
                yield (
                    f"team {team.name}: limit lowered to"
                    f" {after.limit_requests}; not known what it runs"
                )


def _key_consequences(old: Document, new: Document) -> Iterator[str]:
    """Return one line for each key that stops working.

    A document file without a key that was added by ``key give`` would
    withdraw that key.
    """
    for team in new.teams:
        missing = _keys(old.team(team.name)).keys() - _keys(team).keys()
        for key_id in sorted(missing):
            yield f"team {team.name}: key {key_id} stops working"


def revived_keys(old: Document, new: Document) -> list[str]:
    """Return one line for each withdrawn key that a rollback restores."""
    return [
        f"team {team.name}: key {key_id} works again"
        for team in new.teams
        for key_id in sorted(
            _keys(team).keys() - _keys(old.team(team.name)).keys()
        )
    ]


def _pool_consequences(old, new, usage: Usage) -> Iterator[str]:
    for pool in old.pools:
        if new.pool(pool.name) is not None:
            continue
        work = usage.work_by_pool.get(pool.name, 0)
        if work:
            yield f"pool {pool.name} removed with {work} requests"
        elif not usage.complete:
            yield f"pool {pool.name} removed; not known what it runs"


def _budget_consequences(old, new, usage: Usage) -> Iterator[str]:
    """Return one line for each pool that would be below its budget.

    Pools that were below it are left out unless the change makes it worse.

    The pool of a VM is the one in the fleet record, since moves change it
    without changing the document. VMs that the change adds have not joined
    yet and do not count.
    """
    declared = {vm.name for pool in new.pools for vm in pool.vms}
    for pool in new.pools:
        before = old.pool(pool.name)
        if before is None:
            continue
        serving = usage.serving_by_pool.get(pool.name, frozenset())
        remaining = len(serving & declared)
        needed = pool.min_available_vms
        is_worse = (
            remaining < len(serving) or needed > before.min_available_vms
        )
        if remaining < needed and is_worse:
            yield (
                f"pool {pool.name}: {remaining} VMs would serve, at least"
                f" {needed} are required"
            )
