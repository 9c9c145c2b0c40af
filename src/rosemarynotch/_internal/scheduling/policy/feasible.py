"""Tells which jobs can never complete, so that they take no room from others.

Intended for a load in which some jobs are impossible: a task that is larger
than any VM, a required label that no VM has, or a step whose tasks fail on
every worker. Pools were sized for their tasks, which VMs were then missing in
other pools for, and each worker on which they failed was quarantined.
"""

import abc
from collections.abc import Iterable

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.ports import WorkerEntry

__all__ = ["CompletionCheck", "FleetCheck", "NoCheck", "suits"]


def suits(spec: StepSpec, entry: WorkerEntry) -> bool:
    """Tell whether a worker could run a task of a step if it were empty."""
    return entry.capacity.covers(spec.reserved) and (
        not spec.required_label or spec.required_label in entry.labels
    )


class CompletionCheck(abc.ABC):
    """Tells whether jobs can complete on the present fleet.

    :cvar blames_steps: whether failures count against a step, and not against
        workers, once its tasks have failed on several of them
    """

    blames_steps = True

    def update(self, vms: Iterable[FleetVm | WorkerEntry]) -> None:
        """Use another list of VMs and workers from now on."""

    @abc.abstractmethod
    def can_complete(self, job: Job) -> bool:
        """Tell whether a job counts as demand and starts before others."""


class NoCheck(CompletionCheck):
    """Treats all jobs alike (baseline)."""

    blames_steps = False

    def can_complete(self, job):
        """Return True."""
        return True


class FleetCheck(CompletionCheck):
    """Compares the steps of a job with the VMs of all pools.

    A VM of any pool counts, also one that is off, as VMs move. A job that
    cannot complete still starts, on what others leave over: VMs that it needs
    may be added later.
    """

    def __init__(self) -> None:
        # Different sizes of VMs by label; those of all VMs under "".
        self._sizes: dict[str, set[Resources]] = {}

    def update(self, vms):
        """Use another list of VMs and workers from now on."""
        sizes: dict[str, set[Resources]] = {}
        for vm in vms:
            for label in ("", *vm.labels):
                sizes.setdefault(label, set()).add(vm.capacity)
        self._sizes = sizes

    def can_complete(self, job):
        """Return whether each remaining step fits and has not failed."""
        specs = job.submission.spec.steps
        if job.unheld_count and not all(map(self._fits, specs)):
            return False
        return all(
            self._fits(step.spec) and not step.fails_everywhere
            for occurrence in job.occurrences.held
            for step in occurrence.steps
            if not step.is_done
        )

    def _fits(self, spec: StepSpec) -> bool:
        if not self._sizes:
            return True
        sizes = self._sizes.get(spec.required_label, ())
        return any(size.covers(spec.reserved) for size in sizes)
