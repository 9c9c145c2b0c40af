"""What an operator wants to know, as plain values."""

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
    "VmOut",
    "WaveProgress",
]

ENTRY = str(MemberKind.ENTRY)


@attrs.frozen(kw_only=True)
class Usage:
    """What runs at the moment, as far as members were heard.

    :ivar complete: all entries were heard recently
    """

    complete: bool
    running_by_team: dict[str, int] = attrs.field(factory=dict)
    queued_by_team: dict[str, int] = attrs.field(factory=dict)
    work_by_pool: dict[str, int] = attrs.field(factory=dict)
    serving_by_pool: dict[str, frozenset[str]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class MemberState:
    """A member and its newest heartbeat.

    :ivar heard_age_s: None when it was never heard
    """

    name: str
    kind: str
    heard_age_s: float | None
    config_version: int = 0
    fleet_revision: int = 0
    store_age_s: float = 0.0


@attrs.frozen(kw_only=True)
class PoolState:
    """A pool, its budget and its load.

    :ivar ejected_vms: serving VMs that an entry sees as failed
    :ivar out_vms: names of the VMs that do not serve, by state
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
        """Return the VMs that count towards the budget."""
        return self.serving_vms - len(self.ejected_vms)


@attrs.frozen(kw_only=True)
class TeamState:
    """A team's running requests and limit over the whole fleet."""

    name: str
    limit_requests: int
    running_requests: int = 0
    queued_requests: int = 0


@attrs.frozen(kw_only=True)
class ShareState:
    """Part of the served worth that a waiting team got in a pool.

    Both parts are relative to the teams that waited in the pool all along.
    """

    pool: str
    team: str
    expected_part: float
    served_part: float

    @property
    def distance(self) -> float:
        """Return the relative distance from the share, below 0 if under."""
        return self.served_part / self.expected_part - 1


@attrs.frozen(kw_only=True)
class VmOut:
    """A VM that does not serve, and what still runs there."""

    name: str
    state: str
    running_requests: int = 0


@attrs.frozen(kw_only=True)
class WaveProgress:
    """Progress of a wave and what holds it."""

    name: str
    state: str
    done_vms: int
    total_vms: int
    held_by: str = ""


@attrs.frozen(kw_only=True)
class FleetSnapshot:
    """Everything that the report is made from.

    :ivar version: newest configuration version that any member has
    :ivar accepted_at_s: wall time of its acceptance, 0 when not known
    :ivar store_age_s: time since the last store contact of this entry
    :ivar fleet_revision: newest revision of the fleet record seen
    :ivar shares_measured: whether ``shares`` covers a long enough time
    :ivar silent_after_s: age from which a heartbeat counts as missing
    :ivar control_alarms: what leading control cannot do, and why
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
    vms_out: tuple[VmOut, ...] = ()
    control_alarms: tuple[str, ...] = ()

    @property
    def silent(self) -> tuple[MemberState, ...]:
        """Return the entries without a recent heartbeat.

        Controls that do not lead send none, so their silence tells nothing.
        """
        return tuple(
            member
            for member in self.members
            if member.kind == ENTRY and not self._is_heard(member)
        )

    @property
    def expected(self) -> tuple[MemberState, ...]:
        """Return the entries, and the controls that are heard."""
        return tuple(
            member
            for member in self.members
            if member.kind == ENTRY or self._is_heard(member)
        )

    @property
    def hears_control(self) -> bool:
        """Tell whether a control is heard, which then leads."""
        return any(member.kind != ENTRY for member in self.expected)

    def _is_heard(self, member: MemberState) -> bool:
        age_s = member.heard_age_s
        return age_s is not None and age_s <= self.silent_after_s

    def in_force(self, version: int) -> tuple[int, int]:
        """Return how many of the expected members have a version."""
        return self._count("config_version", version)

    def fleet_in_force(self, revision: int) -> tuple[int, int]:
        """Return how many of the expected members have a revision."""
        return self._count("fleet_revision", revision)

    def _count(self, field: str, least: int) -> tuple[int, int]:
        expected = self.expected
        count = sum(
            getattr(member, field) >= least
            for member in expected
            if self._is_heard(member)
        )
        return count, len(expected)
