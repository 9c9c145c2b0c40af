"""HTTP client of the platform's task service."""

from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskService
from rosemarynotch._internal.reference.service_call import ServiceClient
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import CALL_TIMEOUT_S

__all__ = ["HttpTaskService"]


class HttpTaskService(TaskService):
    """Client of the platform's task service.

    :param address: host and port
    :param timeout_s: time-out of each read from the connection
    """

    def __init__(
        self, address: str, clock: Clock, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._service = ServiceClient(address, clock, timeout_s)

    def start(self, task, lease_ms):
        """Start a task; a task id is started at most once."""
        return self._service.operate(
            "PUT", ("v1", "tasks", task.task_id), {"lease_ms": lease_ms}, task
        )

    def tasks(self):
        """Return all tasks known to the platform."""
        return self._service.read(("v1", "tasks"), list[Task])

    def renew(self, task_ids, lease_ms):
        """Extend the leases of running tasks, in one call."""
        if not task_ids:
            return None
        return self._service.operate(
            "POST",
            ("v1", "tasks", "renew"),
            {"lease_ms": lease_ms},
            task_ids,
            repeatable=True,
        )

    def checkpoint(self, task_id):
        """Save the state of a task."""
        return self._operate(task_id, "checkpoint", {})

    def throttle(self, task_id, cores):
        """Limit the processor cores of a task."""
        return self._operate(task_id, "throttle", {"cores": cores})

    def stop(self, task_id):
        """Stop a task."""
        return self._operate(task_id, "stop", {})

    def close(self) -> None:
        """Close idle connections."""
        self._service.close()

    def _operate(self, task_id, operation, query):
        return self._service.operate(
            "POST", ("v1", "tasks", task_id, operation), query
        )
