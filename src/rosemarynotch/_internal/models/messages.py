"""Messages between processes, and requests as they pass through them."""

import attrs

from rosemarynotch._internal.exceptions import Failure

__all__ = [
    "Answer",
    "CallerRequest",
    "DemandRow",
    "DocumentAnswer",
    "DocumentRequest",
    "Forward",
    "ForwardAnswer",
    "Heartbeat",
    "LimitChanged",
    "MetricsAnswer",
    "MetricsRequest",
    "PROTOCOL_VERSION",
]

PROTOCOL_VERSION = 1


@attrs.frozen(kw_only=True)
class DemandRow:
    """Demand and service of one team in one pool at one entry.

    ``served_worth`` and ``slot_s`` only grow within an incarnation. The
    time of requests that still run is part of ``slot_s``, their worth is
    not part of ``served_worth``.
    """

    pool: str
    team: str
    queued_requests: int
    running_requests: int
    served_worth: float
    slot_s: float


@attrs.frozen(kw_only=True)
class Heartbeat:
    """What a member tells every other member.

    :ivar store_age_s: time since the newest store contact known, own or
        heard
    :ivar running_by_vm: requests in flight on VMs that do not serve
    :ivar short_teams: teams with requests waiting for a permit
    :ivar alarms: what a leading control process cannot do, and why
    """

    sender: str
    incarnation: str
    sequence: int
    members_revision: int
    config_version: int
    fleet_revision: int
    store_age_s: float
    demand: tuple[DemandRow, ...] = ()
    running_by_vm: dict[str, int] = attrs.field(factory=dict)
    short_teams: tuple[str, ...] = ()
    ejected_vms: tuple[str, ...] = ()
    alarms: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request of a caller, after parsing and key check.

    :ivar remaining_ms: time left until the deadline when it was sent on
    """

    request_id: str
    team: str
    key_id: str
    queue: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    worth: float
    remaining_ms: int
    idempotent: bool
    retry: bool = False
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen(kw_only=True)
class Forward:
    """A request that another entry has to run.

    :ivar members_revision: the membership under which the owner was chosen
    """

    request: CallerRequest
    members_revision: int
    config_version: int


@attrs.frozen(kw_only=True)
class ForwardAnswer:
    """The outcome of a forwarded request: exactly one field is set."""

    answer: Answer | None = None
    failure: Failure | None = None


@attrs.frozen(kw_only=True)
class DocumentRequest:
    """Ask a peer for the configuration of a version."""

    version: int


@attrs.frozen(kw_only=True)
class DocumentAnswer:
    """A configuration: the pointer and the document, both encoded."""

    pointer: bytes
    document: bytes


@attrs.frozen(kw_only=True)
class LimitChanged:
    """Hint that the receiver should read a team's limit record again."""

    team: str


@attrs.frozen(kw_only=True)
class MetricsRequest:
    """Ask an entry for its counters and histograms."""


@attrs.frozen(kw_only=True)
class MetricsAnswer:
    """The values of all series of one process.

    :ivar histograms: encoded as by hdrhistogram
    """

    counters: dict[str, int]
    histograms: dict[str, bytes]
