"""The operators' document: what one environment declares."""

import enum

import attrs

__all__ = [
    "Document",
    "KeySpec",
    "PoolKind",
    "PoolSpec",
    "QueueSpec",
    "TeamSpec",
    "VmSpec",
    "WaveSpec",
]


class PoolKind(enum.StrEnum):
    """What the VMs of a pool do."""

    SERVICE = "service"
    WORKERS = "workers"
    SPARE = "spare"


@attrs.frozen(kw_only=True)
class VmSpec:
    """A VM and its failure domains. Its address comes from the platform."""

    name: str
    data_centre: str
    rack: str
    slots: int = 8
    connections: int = 64
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen(kw_only=True)
class PoolSpec:
    """A pool of VMs and its availability budget.

    :ivar min_available_vms: VMs that have to serve at any time
    :ivar urgent_reserve_slots: slots kept for urgent queues
    """

    name: str
    kind: PoolKind
    min_available_vms: int
    vms: tuple[VmSpec, ...]
    urgent_reserve_slots: int = 0


@attrs.frozen(kw_only=True)
class KeySpec:
    """A team's key, stored as a salted SHA-256 digest (hexadecimal)."""

    key_id: str
    salt: str
    digest: str


@attrs.frozen(kw_only=True)
class TeamSpec:
    """A team with its share, its upper limit over the fleet and its keys."""

    name: str
    share: float
    limit_requests: int
    keys: tuple[KeySpec, ...] = ()


@attrs.frozen(kw_only=True)
class QueueSpec:
    """A queue that feeds a pool.

    :ivar open_to_all: work is taken without a key, for team ``team``
    :ivar team: the team that work of an open queue counts for
    """

    name: str
    pool: str
    urgent: bool = False
    open_to_all: bool = False
    team: str = ""
    longest_run_ms: int = 30_000


@attrs.frozen(kw_only=True)
class WaveSpec:
    """A maintenance wave over the VMs of some pools."""

    name: str
    pools: tuple[str, ...]
    max_parallel_vms: int = 0


@attrs.frozen(kw_only=True)
class Document:
    """Everything that operators declare for one environment."""

    pools: tuple[PoolSpec, ...]
    teams: tuple[TeamSpec, ...]
    queues: tuple[QueueSpec, ...]
    waves: tuple[WaveSpec, ...] = ()

    def pool(self, name: str) -> PoolSpec | None:
        """Return the pool of that name."""
        return _by_name(self.pools, name)

    def team(self, name: str) -> TeamSpec | None:
        """Return the team of that name."""
        return _by_name(self.teams, name)

    def queue(self, name: str) -> QueueSpec | None:
        """Return the queue of that name."""
        return _by_name(self.queues, name)

    def wave(self, name: str) -> WaveSpec | None:
        """Return the wave of that name."""
        return _by_name(self.waves, name)


def _by_name(items, name):
    return next((item for item in items if item.name == name), None)
