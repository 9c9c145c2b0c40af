"""Data classes for the state of the environment shown to operators."""

import attrs

from rosemarynotch._internal.models.records import MemberKind

__all__ = [
    "ENTRY",
    "FleetSnapshot",
    "MemberState",
    "PoolState",
    "ShareState",
    "TeamState",
    "Usage",
    "VmOutOfService",
    "WaveProgress",
]

ENTRY = str(MemberKind.ENTRY)


@attrs.frozen(kw_only=True)
class Usage:
    """Current requests and serving VMs, as far as members reported them.

    :ivar complete: whether there is a recent heartbeat of each entry
    """

    complete: bool
    running_by_team: dict[str, int] = attrs.field(factory=dict)
    queued_by_team: dict[str, int] = attrs.field(factory=dict)
    work_by_pool: dict[str, int] = attrs.field(factory=dict)
    serving_by_pool: dict[str, frozenset[str]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class MemberState:
    """A member and the content of its last heartbeat.

    :ivar heard_age_s: age of the last heartbeat, None if there was none
    """

    name: str
    kind: str
    heard_age_s: float | None
    config_version: int = 0
    fleet_revision: int = 0
    store_age_s: float = 0.0


@attrs.frozen(kw_only=True)
class PoolState:
    """The VMs, availability budget and load of a pool.

    :ivar ejected_vms: serving VMs that at least one entry has ejected as
        failed
    :ivar out_vms: names of the VMs out of service, by state
    """

    name: str
    min_available_vms: int
    total_vms: int
    serving_vms: int
    ejected_vms: tuple[str, ...] = ()
    out_vms: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    running_requests: int = 0
    queued_requests: int = 0

    @property
    def usable_vms(self) -> int:
        """Return the number of VMs that count towards the budget."""
        return self.serving_vms - len(self.ejected_vms)


@attrs.frozen(kw_only=True)
class TeamState:
    """The limit and the requests of a team over all entries."""

    name: str
    limit_requests: int
    running_requests: int = 0
    queued_requests: int = 0


@attrs.frozen(kw_only=True)
class ShareState:
    """Expected and actual part of a team in the served worth of a pool.

    Both parts are relative to the teams that had queued requests in the pool
    during the whole period.
    """

    pool: str
    team: str
    expected_part: float
    served_part: float

    @property
    def deviation(self) -> float:
        """Return the relative deviation from the share, negative if below."""
        return self.served_part / self.expected_part - 1


@attrs.frozen(kw_only=True)
class VmOutOfService:
    """A VM out of service and the number of requests still running on it."""

    name: str
    state: str
    running_requests: int = 0


@attrs.frozen(kw_only=True)
class WaveProgress:
    """Progress of a wave.

    :ivar held_by: reason why the wave takes no further VMs, empty if none
    """

    name: str
    state: str
    done_vms: int
    total_vms: int
    held_by: str = ""


@attrs.frozen(kw_only=True)
class FleetSnapshot:
    """State of the environment as known to one entry.

    :ivar version: newest configuration version of any member
    :ivar accepted_at_s: wall time of its acceptance, 0 if not known
    :ivar store_age_s: time since the latest store contact known to this entry
    :ivar fleet_revision: newest known revision of the fleet record
    :ivar shares_measured: whether there are enough samples for ``shares``
    :ivar silent_after_s: a member is silent if its last heartbeat is older
    :ivar control_alarms: alarms in the heartbeats of the leading control
        process
    """

    environment: str
    time_s: float
    version: int
    accepted_at_s: float
    store_age_s: float
    fleet_revision: int
    silent_after_s: float
    members: tuple[MemberState, ...] = ()
    pools: tuple[PoolState, ...] = ()
    teams: tuple[TeamState, ...] = ()
    shares: tuple[ShareState, ...] = ()
    shares_measured: bool = False
    waves: tuple[WaveProgress, ...] = ()
    vms_out: tuple[VmOutOfService, ...] = ()
    control_alarms: tuple[str, ...] = ()

    @property
    def silent(self) -> tuple[MemberState, ...]:
        """Return the entries without a recent heartbeat.

        Control processes are left out, since those that do not lead send no
        heartbeats.
        """
        return tuple(
            member
            for member in self.members
            if member.kind == ENTRY and not self._is_heard(member)
        )

    @property
    def expected(self) -> tuple[MemberState, ...]:
        """Return all entries, and control processes with a recent heartbeat.

        Only the leading control process sends heartbeats.
        """
        return tuple(
            member
            for member in self.members
            if member.kind == ENTRY or self._is_heard(member)
        )

    @property
    def has_leading_control(self) -> bool:
        """Return whether the leading control process is heard."""
        return any(member.kind != ENTRY for member in self.expected)

    def _is_heard(self, member: MemberState) -> bool:
        age_s = member.heard_age_s
        return age_s is not None and age_s <= self.silent_after_s

    def in_force(self, version: int) -> tuple[int, int]:
        """Return how many members have at least this version in force.

        :returns: their number and the number of expected members
        """
        return self._count("config_version", version)

    def fleet_in_force(self, revision: int) -> tuple[int, int]:
        """Return how many members have at least this fleet revision.

        :returns: their number and the number of expected members
        """
        return self._count("fleet_revision", revision)

    def _count(self, field: str, min_value: int) -> tuple[int, int]:
        """Return how many expected members have at least a value in a field.

        Values from heartbeats that are not recent are not counted.

        :returns: their number and the number of expected members
        """
        expected = self.expected
        count = sum(
            getattr(member, field) >= min_value
            for member in expected
            if self._is_heard(member)
        )
        return count, len(expected)
