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
        *_pools(old, new),
        *_teams(old, new),
        *_items("queue", old.queues, new.queues),
        *_items("wave", old.waves, new.waves),
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


def _pools(old: Document, new: Document) -> Iterator[str]:
    yield from _items("pool", old.pools, new.pools, ("vms",))
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
            yield from _fields(f"VM {name}", old_vm, new_vm)


def _vms(document: Document) -> dict[str, tuple[str, VmSpec]]:
    return {
        vm.name: (pool.name, vm) for pool in document.pools for vm in pool.vms
    }


def _teams(old: Document, new: Document) -> Iterator[str]:
    yield from _items("team", old.teams, new.teams, ("keys",))
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


def _items(word: str, old, new, skip: tuple[str, ...] = ()) -> Iterator[str]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    for name in sorted(before.keys() - after.keys()):
        yield f"{word} {name} removed"
    for name in sorted(after.keys() - before.keys()):
        yield f"{word} {name} added"
    for name in sorted(before.keys() & after.keys()):
        yield from _fields(f"{word} {name}", before[name], after[name], skip)


def _fields(title: str, old, new, skip=()) -> Iterator[str]:
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skip and before != after:
            yield f"{title}: {field.name} {_text(before)} -> {_text(after)}"


def _text(value: object) -> str:
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
    """Find keys that stop working.

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
    """Find pools that a change takes below their availability budget.

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
        left = len(serving & declared)
        needed = pool.min_available_vms
        is_worse = left < len(serving) or needed > before.min_available_vms
        if left < needed and is_worse:
            yield (
                f"pool {pool.name}: {left} VMs would serve of at least"
                f" {needed}"
            )
