"""Validation rules on the tables of a document.

The structure of the tables may be wrong: the functions skip values of a
wrong type, which the structure check reports.
"""

import re
from typing import Any
from typing import Iterable
from typing import Iterator

import attrs

from rosemarynotch._internal.models.document import KeySpec
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.document import WaveSpec
from rosemarynotch._internal.models.fields import Problem
from rosemarynotch._internal.models.fields import RANGES

__all__ = ["check_tables", "NAME", "NAME_VALID", "one_of"]

# Names contain no dots, because dots separate the team name, the key id and
# the secret in the text of a key.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
NAME_VALID = "1 to 63 letters, digits, - or _, first a letter or digit"
HEX_LENGTHS = {"salt": (16, 128), "digest": (64, 64)}
HEX = re.compile(r"[0-9a-f]*")
# The reserve for urgent queues is at most the slots of a pool divided by this
# number. As a policy, at least half of the slots stay open to all queues.
URGENT_RESERVE_DIVISOR = 2

Row = tuple[str, dict[str, Any]]


def one_of(names: Iterable[object]) -> str:
    """Return a human-readable list of valid values."""
    return "one of " + ", ".join(str(name) for name in names)


def check_tables(tables: dict[str, Any]) -> list[Problem]:
    """Return the violations of the rules in the tables of a document."""
    pools = list(_rows(tables, "pools"))
    teams = list(_rows(tables, "teams"))
    queues = list(_rows(tables, "queues"))
    waves = list(_rows(tables, "waves"))
    vms = [row for pool in pools for row in _rows(pool[1], "vms", pool[0])]
    keys = [row for team in teams for row in _rows(team[1], "keys", team[0])]
    problems = []
    for kind, rows, names in (
        (PoolSpec, pools, ("name",)),
        (VmSpec, vms, ("name", "data_centre", "rack")),
        (TeamSpec, teams, ("name",)),
        (KeySpec, keys, ("key_id",)),
        (QueueSpec, queues, ("name",)),
        (WaveSpec, waves, ("name",)),
    ):
        problems += _range_problems(kind, rows)
        problems += _name_problems(rows, names)
    for rows in (pools, vms, teams, queues, waves):
        problems += _duplicates(rows, "name")
    for path, team in teams:
        problems += _duplicates(list(_rows(team, "keys", path)), "key_id")
    problems += _hex_problems(keys)
    problems += _pool_problems(pools)
    problems += _queue_problems(queues, pools, teams)
    problems += _wave_problems(waves, pools)
    return problems


def _rows(
    table: dict[str, Any], field: str, parent: str = ""
) -> Iterator[Row]:
    items = table.get(field)
    prefix = f"{parent}.{field}" if parent else field
    for index, item in enumerate(_array(items)):
        if isinstance(item, dict):
            yield f"{prefix}[{index}]", item


def _array(value: Any) -> list[Any]:
    return list(value) if isinstance(value, (list, tuple)) else []


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _number(row: dict[str, Any], field: str, default: int = 0) -> int:
    value = row.get(field, default)
    return value if _is_number(value) else default


def _range_problems(kind: type, rows: list[Row]) -> Iterator[Problem]:
    for path, row in rows:
        for field, valid in RANGES[kind].items():
            value = row.get(field)
            if not _is_number(value):
                continue
            if not valid.minimum <= value <= valid.maximum:
                yield Problem(
                    path=f"{path}.{field}",
                    error=f"{value} is out of range",
                    valid=f"{valid} {valid.unit}",
                )


def _name_problems(rows, fields) -> Iterator[Problem]:
    for path, row in rows:
        for field in fields:
            value = row.get(field)
            if isinstance(value, str) and not NAME.fullmatch(value):
                yield Problem(
                    path=f"{path}.{field}",
                    error=f"{value!r} is not a valid name",
                    valid=NAME_VALID,
                )


def _duplicates(rows: list[Row], field: str) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for path, row in rows:
        name = row.get(field)
        if not isinstance(name, str):
            continue
        if name in first:
            yield Problem(
                path=f"{path}.{field}",
                error=f"{name!r} is already used at {first[name]}",
                valid=f"a unique {field}",
            )
        first.setdefault(name, path)


def _hex_problems(keys: list[Row]) -> Iterator[Problem]:
    for path, key in keys:
        for field, (low, high) in HEX_LENGTHS.items():
            value = key.get(field)
            if not isinstance(value, str):
                continue
            if not HEX.fullmatch(value) or not low <= len(value) <= high:
                yield Problem(
                    path=f"{path}.{field}",
                    error="not hexadecimal, or of a wrong length",
                    valid=f"{low} to {high} characters 0-9 a-f",
                )


def _pool_problems(pools: list[Row]) -> Iterator[Problem]:
    for path, pool in pools:
        vms = list(_rows(pool, "vms", path))
        if _number(pool, "min_available_vms") > len(vms):
            yield Problem(
                path=f"{path}.min_available_vms",
                error=f"more than the pool's {len(vms)} VMs",
                valid=f"0 to {len(vms)}",
            )
        default = attrs.fields(VmSpec).slots.default
        slots = sum(_number(vm, "slots", default) for _, vm in vms)
        max_reserve = slots // URGENT_RESERVE_DIVISOR
        if _number(pool, "urgent_reserve_slots") > max_reserve:
            yield Problem(
                path=f"{path}.urgent_reserve_slots",
                error=f"more than half of the pool's {slots} slots",
                valid=f"0 to {max_reserve}",
            )
        if pool.get("kind") == PoolKind.WORKERS:
            yield from _worker_problems(vms)


def _worker_problems(vms: list[Row]) -> Iterator[Problem]:
    for path, vm in vms:
        for field in ("cores", "memory_mb"):
            if _number(vm, field) == 0:
                yield Problem(
                    path=f"{path}.{field}",
                    error="missing or 0 for a VM of a worker pool",
                    valid="at least 1",
                )


def _queue_problems(queues, pools, teams) -> Iterator[Problem]:
    kinds = {pool.get("name"): pool.get("kind") for _, pool in pools}
    usable = [name for name, kind in kinds.items() if kind != PoolKind.SPARE]
    team_names = [team.get("name") for _, team in teams]
    for path, queue in queues:
        pool = queue.get("pool")
        if isinstance(pool, str) and pool not in usable:
            error = "takes no work" if pool in kinds else "is unknown"
            yield Problem(
                path=f"{path}.pool",
                error=f"pool {pool!r} {error}",
                valid=one_of(usable),
            )
        team = queue.get("team", "")
        if queue.get("open_to_all") is True:
            if team not in team_names:
                error = f"{team!r} is unknown" if team else "missing"
                yield Problem(
                    path=f"{path}.team",
                    error=f"team of a queue open to all: {error}",
                    valid=one_of(team_names),
                )
        elif team:
            yield Problem(
                path=f"{path}.team",
                error="only a queue that is open to all may have a team",
                valid="no team, or open_to_all = true",
            )


def _wave_problems(waves, pools) -> Iterator[Problem]:
    names = [pool.get("name") for _, pool in pools]
    for path, wave in waves:
        pool_names = _array(wave.get("pools"))
        if not pool_names:
            yield Problem(
                path=f"{path}.pools",
                error="a wave without a pool",
                valid=one_of(names),
            )
        for index, name in enumerate(pool_names):
            if not isinstance(name, str):
                continue
            if name not in names or name in pool_names[:index]:
                error = "is listed twice" if name in names else "is unknown"
                yield Problem(
                    path=f"{path}.pools[{index}]",
                    error=f"pool {name!r} {error}",
                    valid=one_of(names),
                )
