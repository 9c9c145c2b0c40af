"""HTTP client of the platform's VM service."""

from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.reference.service_call import ServiceClient
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import CALL_TIMEOUT_S

__all__ = ["HttpVmService"]


class HttpVmService(VmService):
    """Client of the platform's VM service.

    :param address: host and port
    :param timeout_s: time-out of each read from the connection
    """

    def __init__(
        self, address: str, clock: Clock, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._service = ServiceClient(address, clock, timeout_s)

    def vms(self):
        """Return the list of VMs, which may be out of date."""
        return self._service.read(("v1", "vms"), list[PlatformVm])

    def drain(self, vm, operation_id):
        """Make a VM refuse new work."""
        return self._operate(vm, "drain", operation_id)

    def undrain(self, vm, operation_id):
        """Make a VM accept work again."""
        return self._operate(vm, "undrain", operation_id)

    def reboot(self, vm, operation_id):
        """Reboot a VM once per operation."""
        return self._operate(vm, "reboot", operation_id)

    def close(self) -> None:
        """Close idle connections."""
        self._service.close()

    def _operate(self, vm, operation, operation_id):
        return self._service.operate(
            "POST", ("v1", "vms", vm, operation), {"operation": operation_id}
        )
