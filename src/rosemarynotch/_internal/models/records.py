"""Records in the platform's store."""

import enum

import attrs

__all__ = [
    "ConfigPointer",
    "ConfigVersion",
    "FleetRecord",
    "Head",
    "LimitRecord",
    "Member",
    "MemberKind",
    "MembersRecord",
    "Portion",
    "VmRecord",
    "VmState",
    "WaveRecord",
    "WaveState",
]


@attrs.frozen(kw_only=True)
class ConfigVersion:
    """One accepted configuration."""

    version: int
    digest: str
    change_id: str
    operator: str
    reason: str
    accepted_at_s: float


@attrs.frozen(kw_only=True)
class ConfigPointer:
    """The configuration in force and the ones before it, newest first."""

    current: ConfigVersion
    history: tuple[ConfigVersion, ...] = ()


class MemberKind(enum.StrEnum):
    """Programs that are members."""

    ENTRY = "entry"
    CONTROL = "control"


@attrs.frozen(kw_only=True)
class Member:
    """A running process.

    :ivar incarnation: random, new at each start
    :ivar vm_instance: the platform's identifier of this life of the VM
    :ivar peer_address: host and port of the peer socket
    """

    name: str
    kind: MemberKind
    incarnation: str
    vm: str
    vm_instance: str
    data_centre: str
    peer_address: str
    operator_address: str = ""


@attrs.frozen(kw_only=True)
class MembersRecord:
    """All members by name."""

    members: dict[str, Member] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Portion:
    """The part of a team's limit that one holder may have running."""

    incarnation: str
    requests: int


@attrs.frozen(kw_only=True)
class LimitRecord:
    """A team's limit and how it is divided over holders by name.

    The sum of portions never exceeds ``limit_requests``, except right after
    the limit was lowered under what is running.
    """

    limit_requests: int
    config_version: int
    portions: dict[str, Portion] = attrs.field(factory=dict)

    @property
    def unassigned_requests(self) -> int:
        """Return what no holder has, at least 0."""
        taken = sum(part.requests for part in self.portions.values())
        return max(0, self.limit_requests - taken)


class VmState(enum.StrEnum):
    """State of a VM; only serving VMs get new work."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    JOINING = "joining"
    FAILED = "failed"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class VmRecord:
    """Where a VM belongs and what happens to it.

    :ivar operation_id: the drain, move or reboot that is under way
    :ivar wave: the wave that took it out of service
    :ivar destination: the pool it moves to, once drained
    """

    pool: str
    state: VmState
    instance: str
    address: str
    data_centre: str
    rack: str
    slots: int = 8
    connections: int = 64
    operation_id: str = ""
    wave: str = ""
    destination: str = ""


class WaveState(enum.StrEnum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


@attrs.frozen(kw_only=True)
class WaveRecord:
    """Progress of a wave.

    :ivar held_by: why no further VM is taken at the moment
    """

    state: WaveState
    operator: str
    reason: str
    done_vms: tuple[str, ...] = ()
    held_by: str = ""


@attrs.frozen(kw_only=True)
class FleetRecord:
    """The one record that decides pool membership and VM states."""

    vms: dict[str, VmRecord] = attrs.field(factory=dict)
    waves: dict[str, WaveRecord] = attrs.field(factory=dict)
    moves_count: int = 0


@attrs.frozen(kw_only=True)
class Head:
    """Revisions of the records that every process follows; only a hint."""

    config_revision: int = 0
    fleet_revision: int = 0
    members_revision: int = 0
