"""Shared records in the store of the platform."""

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
    """An accepted version of the configuration."""

    version: int
    digest: str
    change_id: str
    operator: str
    reason: str
    accepted_at_s: float


@attrs.frozen(kw_only=True)
class ConfigPointer:
    """The configuration in force and earlier versions, newest first."""

    current: ConfigVersion
    history: tuple[ConfigVersion, ...] = ()


class MemberKind(enum.StrEnum):
    """Program that a member runs."""

    ENTRY = "entry"
    CONTROL = "control"


@attrs.frozen(kw_only=True)
class Member:
    """A running process that takes part in the exchange of heartbeats.

    :ivar incarnation: random identifier of this start of the process
    :ivar vm_instance: platform identifier of the current instance of the VM
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
    """Part of the limit of a team that is assigned to one holder."""

    incarnation: str
    requests: int


@attrs.frozen(kw_only=True)
class LimitRecord:
    """The limit of a team and its division among holders.

    The sum of the portions never exceeds ``limit_requests``, except after
    the limit was lowered below the number of running requests.

    :ivar portions: portions by name of the holder
    """

    limit_requests: int
    config_version: int
    portions: dict[str, Portion] = attrs.field(factory=dict)

    @property
    def unassigned_requests(self) -> int:
        """Return the part of the limit without a holder, at least 0."""
        taken = sum(part.requests for part in self.portions.values())
        return max(0, self.limit_requests - taken)


class VmState(enum.StrEnum):
    """State of a VM; only VMs in state SERVING get new work."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    JOINING = "joining"
    FAILED = "failed"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class VmRecord:
    """Pool, state and current operation of a VM.

    :ivar operation_id: identifier of the drain, move or reboot in progress
    :ivar wave: wave that took the VM out of service
    :ivar destination: pool to which the VM moves once it is drained
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

    :ivar held_by: reason why no further VM is taken out of service now
    """

    state: WaveState
    operator: str
    reason: str
    done_vms: tuple[str, ...] = ()
    held_by: str = ""


@attrs.frozen(kw_only=True)
class FleetRecord:
    """Authoritative record of the pool and state of each VM."""

    vms: dict[str, VmRecord] = attrs.field(factory=dict)
    waves: dict[str, WaveRecord] = attrs.field(factory=dict)
    moves_count: int = 0


@attrs.frozen(kw_only=True)
class Head:
    """Revisions of the records that every process follows.

    They are only a hint: the update of the head may be missing after a
    write.
    """

    config_revision: int = 0
    fleet_revision: int = 0
    members_revision: int = 0
