"""Client of the service that moves and maintains VMs."""

from collections.abc import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.platform.decoding import decode_rows
from rosemarynotch._internal.platform.schema import RefusalAnswer
from rosemarynotch._internal.platform.schema import VmPage
from rosemarynotch._internal.platform.schema import VmRow
from rosemarynotch._internal.scheduling.fleet_ports import FleetService
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmListing
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpFleetService"]

PHASES = {
    "up": VmPhase.UP,
    "moving": VmPhase.MOVING,
    "upkeep": VmPhase.MAINTENANCE,
    "down": VmPhase.DOWN,
}


class HttpFleetService(FleetService):
    """Calls the VM service over HTTP.

    :param http: connections to the service
    :param node: name of this node, sent as the holder of the fencing token
    :param may_order: tells whether this node may give orders; called right
        before each order is sent, since the service does not check fencing
        tokens and would carry out a late order
    """

    def __init__(
        self, http: HttpClient, node: str, may_order: Callable[[], bool]
    ) -> None:
        self._http = http
        self._node = node
        self._may_order = may_order

    def vms(self):
        """List all VMs, page by page."""
        found: list[FleetVm] = []
        refused: list[str] = []
        token = None
        while True:
            query = {} if token is None else {"page-token": token}
            answer = call_json(
                self._http,
                "GET",
                ("machines",),
                PLATFORM_UNAVAILABLE,
                answers={200: VmPage},
                query=query,
            )
            if isinstance(answer, Failure):
                return answer
            status, body = answer
            if status != 200:
                return PLATFORM_UNAVAILABLE.with_reason(
                    f"machines: status {status}"
                )
            # VMs with a malformed row are left out and not acted on.
            rows = decode_rows(body.machines, VmRow, refused)
            found += [_to_vm(row) for row in rows]
            token = body.next_token
            if not token:
                return VmListing(vms=tuple(found), is_complete=not refused)

    def move(self, fence, vm, pool):
        """Order the move of a VM to a pool."""
        return self._order("machine-move", fence, machine=vm, pool=pool)

    def maintain(self, fence, vm, wave):
        """Order the maintenance of a VM as part of a wave."""
        return self._order("machine-upkeep", fence, machine=vm, wave=wave)

    def _order(self, name: str, fence: int, **body) -> None | Failure:
        headers = {
            "Rosemarynotch-Lease-Holder": self._node,
            "Rosemarynotch-Fencing-Token": str(fence),
        }
        answer = call_json(
            self._http,
            "POST",
            (name,),
            PLATFORM_UNAVAILABLE,
            answers={409: RefusalAnswer},
            body=body,
            headers=headers,
            # Sent once; the caller checks its leadership before each order.
            repeatable=False,
            may_send=self._may_order,
        )
        if isinstance(answer, Failure):
            return answer
        status, refusal = answer
        if status == 200:
            return None
        if status == 409:
            return PLATFORM_REFUSED.with_reason(refusal.reason)
        return PLATFORM_UNAVAILABLE.with_reason(f"{name}: status {status}")


def _to_vm(row: VmRow) -> FleetVm:
    return FleetVm(
        name=row.machine,
        pool=row.pool,
        phase=PHASES.get(row.state, VmPhase.DOWN),
        data_centre=row.zone,
        labels=tuple(row.labels),
        capacity=row.capacity.resources(),
        # Identifier of the worker that runs on the VM now.
        worker_id=row.id or "",
    )
