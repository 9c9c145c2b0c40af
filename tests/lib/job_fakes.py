"""Task service and permits for tests of jobs."""

import msgspec

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskService
from standins.ledger import Ledger
from standins import tasks as standin
from standins import vms as standin_vms

__all__ = ["LimitPermits", "StandinTasks", "worker_platform"]


class LimitPermits:
    """Permits that all processes share, with one limit per team.

    :param limits: requests by team
    """

    def __init__(self, limits: dict[str, int]) -> None:
        self.limits = limits
        self.running: dict[str, int] = {}

    def try_acquire(self, team):
        """Take a permit if the team has one left."""
        if self.running.get(team, 0) >= self.limits.get(team, 0):
            return False
        self.running[team] = self.running.get(team, 0) + 1
        return True

    def release(self, team):
        """Release a permit."""
        self.running[team] -= 1


class StandinTasks(TaskService):
    """Adapter of the stand-in's tasks to :class:`TaskService`.

    :ivar lose_answers: number of next calls whose answer is lost
    :ivar down: whether the service is unavailable
    """

    def __init__(self, core: standin.Tasks) -> None:
        self.core = core
        self.lose_answers = 0
        self.down = False

    def start(self, task, lease_ms):
        """Start a task at most once."""
        values = msgspec.to_builtins(task)
        return self._call(
            lambda: self.core.start(standin.Task(**values), lease_ms)
        )

    def tasks(self):
        """Return all tasks."""
        if self.down:
            return failures.PLATFORM_UNAVAILABLE
        listed = msgspec.to_builtins(self.core.listed())
        return msgspec.convert(listed, list[Task])

    def renew(self, task_ids, lease_ms):
        """Extend leases."""
        return self._call(lambda: self.core.renew(task_ids, lease_ms))

    def checkpoint(self, task_id):
        """Save the state of a task."""
        return self._call(lambda: self.core.checkpoint(task_id))

    def throttle(self, task_id, cores):
        """Limit the processor cores of a task."""
        return self._call(lambda: self.core.throttle(task_id, cores))

    def stop(self, task_id):
        """Stop a task."""
        return self._call(lambda: self.core.stop(task_id))

    def _call(self, run):
        if self.down:
            return failures.PLATFORM_UNAVAILABLE
        try:
            run()
        except (standin_vms.Refused, standin_vms.Unknown) as error:
            return failures.PLATFORM_REFUSED.with_reason(str(error))
        if self.lose_answers:
            self.lose_answers -= 1
            return failures.PLATFORM_UNAVAILABLE.with_ran_unknown()
        return None


def worker_platform(document, clock):
    """Return the stand-in's VMs, tasks and ledger for a document."""
    ledger = Ledger(clock.monotonic_s)
    vms = standin_vms.Vms(ledger, post_admin_call=lambda *_: None)
    for pool in document.pools:
        for spec in pool.vms:
            vms.add(
                standin_vms.Vm(
                    name=spec.name,
                    rack=spec.rack,
                    cores=spec.cores,
                    memory_mb=spec.memory_mb,
                    accelerators=spec.accelerators,
                )
            )
    return vms, standin.Tasks(vms, ledger), ledger
