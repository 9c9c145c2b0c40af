"""Clients of the platform's services, from the settings of a node."""

from collections.abc import Callable

from rosemarynotch._internal.platform import decode_wave
from rosemarynotch._internal.platform import decode_worker
from rosemarynotch._internal.platform import encode_wave_status
from rosemarynotch._internal.platform import HttpAdvisor
from rosemarynotch._internal.platform import HttpCoordinationStore
from rosemarynotch._internal.platform import HttpFleetService
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.platform import KEYS
from rosemarynotch._internal.platform.settings import NodeSettings
from rosemarynotch._internal.scheduling.policies import ControllerPorts
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["LEASE_CALL_TIMEOUT_S", "PlatformClients"]

# The store normally answers in 4 ms. The time-out tolerates a store that is
# 100 times slower.
STORE_TIMEOUT_S = 0.8
# A renewal that takes longer than this would be too late for the lease.
LEASE_CALL_TIMEOUT_S = 0.45
# Orders may use a connection that has been idle for up to this time. If the
# worker has closed it meanwhile, the order gets no answer and the planner
# repeats it.
MAX_ORDER_IDLE_S = 5.0
ADVICE_TIMEOUT_S = 1.5
VM_SERVICE_TIMEOUT_S = 1.0


class PlatformClients:
    """Creates clients with connections of their own.

    :param settings: returns the settings in force
    """

    def __init__(
        self, settings: Callable[[], NodeSettings], clock: Clock
    ) -> None:
        self._settings = settings
        self._clock = clock

    def store(
        self, timeout_s: float = STORE_TIMEOUT_S
    ) -> HttpCoordinationStore:
        """Return a client of the store."""
        address = self._settings().store_address
        return HttpCoordinationStore(
            HttpClient(address, self._clock, timeout_s)
        )

    def ports(self, is_leading: Callable[[], bool]) -> ControllerPorts:
        """Return the services that a leader calls in one term.

        :param is_leading: tells whether this node may still give orders
        """
        evacuation_ms = self._settings().evacuation_ms
        return ControllerPorts(
            store=self.store(),
            workers_prefix=KEYS.workers,
            decode_worker=decode_worker,
            connect_worker=self._connect_worker,
            waves_prefix=KEYS.waves,
            wave_status_prefix=KEYS.wave_status,
            decode_wave=decode_wave,
            encode_wave_status=encode_wave_status,
            evacuations_prefix=(
                "" if evacuation_ms is None else KEYS.evacuations
            ),
            evacuation_bound_s=(evacuation_ms or 0) / 1000,
            fleet=self._fleet_service(is_leading),
            advisor=self._advisor(),
        )

    def _connect_worker(
        self, entry: WorkerEntry, order_timeout: Callable[[int], float]
    ) -> HttpWorkerChannel:
        return HttpWorkerChannel(
            lambda timeout_s, check: HttpClient(
                entry.address,
                self._clock,
                timeout_s,
                max_idle_unrepeatable_s=MAX_ORDER_IDLE_S,
                check=check,
            ),
            entry.worker_id,
            order_timeout,
        )

    def _fleet_service(
        self, is_leading: Callable[[], bool]
    ) -> HttpFleetService | None:
        settings = self._settings()
        if not settings.vm_service_address:
            return None
        http = HttpClient(
            settings.vm_service_address, self._clock, VM_SERVICE_TIMEOUT_S
        )
        return HttpFleetService(http, settings.node, is_leading)

    def _advisor(self) -> HttpAdvisor | None:
        address = self._settings().advisor_address
        if not address:
            return None
        return HttpAdvisor(HttpClient(address, self._clock, ADVICE_TIMEOUT_S))
