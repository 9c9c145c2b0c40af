"""Model of the document in which operators declare an environment."""

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
    """Use of the VMs of a pool.

    VMs of a SPARE pool take no work.
    """

    SERVICE = "service"
    WORKERS = "workers"
    SPARE = "spare"


@attrs.frozen(kw_only=True)
class VmSpec:
    """A VM, its capacity and its failure domains.

    The address of the VM is not declared; the platform provides it.
    """

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

    :ivar min_available_vms: least number of VMs that serve at any time
    :ivar urgent_reserve_slots: slots reserved for urgent queues
    """

    name: str
    kind: PoolKind
    min_available_vms: int
    vms: tuple[VmSpec, ...]
    urgent_reserve_slots: int = 0


@attrs.frozen(kw_only=True)
class KeySpec:
    """A key of a team.

    :ivar salt: hexadecimal salt of the digest
    :ivar digest: hexadecimal SHA-256 digest of salt and secret
    """

    key_id: str
    salt: str
    digest: str


@attrs.frozen(kw_only=True)
class TeamSpec:
    """A team that submits requests and jobs.

    :ivar share: weight of the team in the division of slots
    :ivar limit_requests: most requests that run at a time in the fleet
    """

    name: str
    share: float
    limit_requests: int
    keys: tuple[KeySpec, ...] = ()


@attrs.frozen(kw_only=True)
class QueueSpec:
    """A queue whose work runs in a pool.

    :ivar open_to_all: accept work without a key, on behalf of ``team``
    :ivar team: team that the work of an open queue is accounted to
    :ivar longest_run_ms: longest time that a request may run
    """

    name: str
    pool: str
    urgent: bool = False
    open_to_all: bool = False
    team: str = ""
    longest_run_ms: int = 30_000


@attrs.frozen(kw_only=True)
class WaveSpec:
    """A maintenance wave over the VMs of one or more pools.

    :ivar max_parallel_vms: most VMs out of service at a time
    """

    name: str
    pools: tuple[str, ...]
    max_parallel_vms: int = 0


@attrs.frozen(kw_only=True)
class Document:
    """All declarations of one environment."""

    pools: tuple[PoolSpec, ...]
    teams: tuple[TeamSpec, ...]
    queues: tuple[QueueSpec, ...]
    waves: tuple[WaveSpec, ...] = ()

    def pool(self, name: str) -> PoolSpec | None:
        """Return the pool of that name, or None."""
        return _by_name(self.pools, name)

    def team(self, name: str) -> TeamSpec | None:
        """Return the team of that name, or None."""
        return _by_name(self.teams, name)

    def queue(self, name: str) -> QueueSpec | None:
        """Return the queue of that name, or None."""
        return _by_name(self.queues, name)

    def wave(self, name: str) -> WaveSpec | None:
        """Return the wave of that name, or None."""
        return _by_name(self.waves, name)


def _by_name(items, name):
    return next((item for item in items if item.name == name), None)
