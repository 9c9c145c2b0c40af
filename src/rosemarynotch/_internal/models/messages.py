"""Messages between processes, and caller requests contained in them."""

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

    ``served_worth`` and ``slot_s`` never decrease within an incarnation.
    ``slot_s`` includes the time of requests that are still running;
    ``served_worth`` includes only completed requests.
    """

    pool: str
    team: str
    queued_requests: int
    running_requests: int
    served_worth: float
    slot_s: float


@attrs.frozen(kw_only=True)
class Heartbeat:
    """State that a member sends to every other member.

    :ivar store_age_s: time since the latest store contact, either of the
        sender or reported to it by another member
    :ivar running_by_vm: requests in flight on VMs that are not serving
    :ivar short_teams: teams with requests waiting for a permit
    :ivar alarms: operations that the leading control process cannot carry
        out, with the reason
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
    """A caller request after parsing and verification of the key.

    :ivar remaining_ms: time left until the deadline when the request was
        forwarded
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

    @property
    def is_unsafe_repeat(self) -> bool:
        """Tell whether an earlier run makes this request run twice."""
        return self.retry and not self.idempotent


@attrs.frozen(kw_only=True)
class Answer:
    """A complete answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen(kw_only=True)
class Forward:
    """A request that the receiving entry runs on behalf of the sender.

    :ivar members_revision: revision of the members record under which the
        sender determined the owner
    """

    request: CallerRequest
    members_revision: int
    config_version: int


@attrs.frozen(kw_only=True)
class ForwardAnswer:
    """Outcome of a forwarded request; exactly one field is set."""

    answer: Answer | None = None
    failure: Failure | None = None


@attrs.frozen(kw_only=True)
class DocumentRequest:
    """Request to a peer for the configuration of a version."""

    version: int


@attrs.frozen(kw_only=True)
class DocumentAnswer:
    """A configuration: the encoded pointer and the encoded document."""

    pointer: bytes
    document: bytes


@attrs.frozen(kw_only=True)
class LimitChanged:
    """Hint to the receiver to read the limit record of a team again."""

    team: str


@attrs.frozen(kw_only=True)
class MetricsRequest:
    """Request to an entry for its counters and histograms."""


@attrs.frozen(kw_only=True)
class MetricsAnswer:
    """Values of all series of one process.

    :ivar histograms: in the encoding of hdrhistogram
    """

    counters: dict[str, int]
    histograms: dict[str, bytes]
