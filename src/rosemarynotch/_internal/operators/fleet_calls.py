"""Handlers for VMs, waves and jobs."""

from typing import Any
from typing import Callable
from typing import Protocol

import logbook

from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.exceptions import CHANGE_UNKNOWN
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.http import Route
from rosemarynotch._internal.operators.jobs import OperatorJobs
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators import requests
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["FleetCalls", "Operations"]

# Operations are idempotent for the same change id, so they are retried after
# lost answers.
MAX_ATTEMPTS = 3

_log = logbook.Logger(__name__)


class Operations(Protocol):
    """The functions of ``control.operations``."""

    def drain_vm(
        self,
        records: RecordStore,
        document: Document,
        vm: str,
        operation_id: str,
        failed: frozenset[str],
    ) -> Record | Failure:
        """Take a VM out of service without interrupting requests."""

    def undrain_vm(
        self, records: RecordStore, vm: str, operation_id: str
    ) -> Record | Failure:
        """Return a VM to service."""

    def move_vm(
        self,
        records: RecordStore,
        document: Document,
        vm: str,
        pool: str,
        operation_id: str,
        failed: frozenset[str],
    ) -> Record | Failure:
        """Move a VM to another pool."""

    def start_wave(
        self,
        records: RecordStore,
        document: Document,
        wave: str,
        operator: str,
        reason: str,
    ) -> Record | Failure:
        """Start a wave."""

    def pause_wave(
        self, records: RecordStore, wave: str, operator: str, reason: str
    ) -> Record | Failure:
        """Pause a wave.

        ``resume_wave`` and ``abort_wave`` have the same parameters.
        """


class FleetCalls:
    """Shows and changes the fleet record and jobs."""

    def __init__(
        self,
        records: RecordStore,
        in_force: ConfigInForce,
        fleet: FleetView,
        observer: Observer,
        operations: Operations,
        jobs: OperatorJobs,
    ) -> None:
        self._records = records
        self._in_force = in_force
        self._fleet = fleet
        self._observer = observer
        self._operations = operations
        self._jobs = jobs
        self.routes = (
            Route("GET", "/v1/fleet", self.show),
            Route("GET", "/v1/fleet/revisions/<revision>", self.in_force),
            Route("GET", "/v1/waves", self.show_waves),
            Route("POST", "/v1/vms/<vm>/drain", self.drain),
            Route("POST", "/v1/vms/<vm>/undrain", self.undrain),
            Route("POST", "/v1/vms/<vm>/move", self.move),
            Route("POST", "/v1/waves/<wave>/start", self.start_wave),
            Route("POST", "/v1/waves/<wave>/pause", self.pause_wave),
            Route("POST", "/v1/waves/<wave>/resume", self.resume_wave),
            Route("POST", "/v1/waves/<wave>/abort", self.abort_wave),
            Route("GET", "/v1/jobs", self.list_jobs),
            Route("POST", "/v1/jobs/<id>/cancel", self.cancel_job),
        )

    def show(self, request: Request) -> Any:
        """Return this entry's copy of the fleet record."""
        record = self._fleet.record
        return {
            "fleet_revision": self._fleet.revision,
            "vms": record.vms,
            "waves": record.waves,
            "moves_count": record.moves_count,
        }

    def show_waves(self, request: Request) -> Any:
        """Return the progress of all waves, including ended ones."""
        return {"waves": self._observer.snapshot().waves}

    def in_force(self, request: Request, revision: str) -> Any:
        """Return how many members have a fleet revision in force."""
        if not revision.isdecimal():
            return REQUEST_MALFORMED.with_reason(
                "fleet revision is not a number"
            )
        return self._accepted(int(revision))

    def drain(self, request: Request, vm: str) -> Any:
        """Take a VM out of service until it is undrained."""
        return self._run_operation(
            request,
            requests.FleetChange,
            lambda body: self._operations.drain_vm(
                self._records,
                self._in_force.current.document,
                vm,
                body.change_id,
                self._ejected_vms(),
            ),
        )

    def undrain(self, request: Request, vm: str) -> Any:
        """Return a VM to service."""
        return self._run_operation(
            request,
            requests.FleetChange,
            lambda body: self._operations.undrain_vm(
                self._records, vm, body.change_id
            ),
        )

    def move(self, request: Request, vm: str) -> Any:
        """Move a VM to another pool."""
        return self._run_operation(
            request,
            requests.MoveChange,
            lambda body: self._operations.move_vm(
                self._records,
                self._in_force.current.document,
                vm,
                body.pool,
                body.change_id,
                self._ejected_vms(),
            ),
        )

    def start_wave(self, request: Request, wave: str) -> Any:
        """Start a wave."""
        return self._run_operation(
            request,
            requests.FleetChange,
            lambda body: self._operations.start_wave(
                self._records,
                self._in_force.current.document,
                wave,
                body.operator,
                body.reason,
            ),
        )

    def pause_wave(self, request: Request, wave: str) -> Any:
        """Pause a wave."""
        return self._change_wave(request, wave, self._operations.pause_wave)

    def resume_wave(self, request: Request, wave: str) -> Any:
        """Resume a paused wave."""
        return self._change_wave(request, wave, self._operations.resume_wave)

    def abort_wave(self, request: Request, wave: str) -> Any:
        """Abort a wave."""
        return self._change_wave(request, wave, self._operations.abort_wave)

    def list_jobs(self, request: Request) -> Any:
        """Return the jobs of one team or of all teams."""
        jobs = self._jobs.list_jobs(request.query("team"))
        return jobs if isinstance(jobs, Failure) else {"jobs": jobs}

    def cancel_job(self, request: Request, job_id: str) -> Any:
        """Cancel a job."""
        body = requests.decode_change(request, requests.JobCancel)
        if isinstance(body, Failure):
            return body
        result = _run_with_retries(
            body, lambda: self._jobs.cancel(body.team, job_id)
        )
        if isinstance(result, Failure):
            return result
        _log_change("job cancelled", body, job=job_id, team=body.team)
        return {"state": "accepted", "change_id": body.change_id}

    def _change_wave(self, request: Request, wave: str, operation) -> Any:
        return self._run_operation(
            request,
            requests.FleetChange,
            lambda body: operation(
                self._records, wave, body.operator, body.reason
            ),
        )

    def _run_operation(
        self, request: Request, kind: type, operation: Callable
    ) -> Any:
        body = requests.decode_change(request, kind)
        if isinstance(body, Failure):
            return body
        result = _run_with_retries(body, lambda: operation(body))
        if isinstance(result, Failure):
            return result
        _log_change("fleet changed", body, call=request.environ["PATH_INFO"])
        return {
            **self._accepted(result.revision),
            "change_id": body.change_id,
        }

    def _accepted(self, revision: int) -> dict[str, Any]:
        count, total = self._observer.snapshot().fleet_in_force(revision)
        return {
            "state": "accepted",
            "fleet_revision": revision,
            "in_force": count,
            "members": total,
        }

    def _ejected_vms(self) -> frozenset[str]:
        pools = self._observer.snapshot().pools
        return frozenset(vm for pool in pools for vm in pool.ejected_vms)


def _run_with_retries(body, operation: Callable) -> Any:
    """Run an operation and retry it while its outcome is unknown.

    :returns: the result, or CHANGE_UNKNOWN after :data:`MAX_ATTEMPTS`
    """
    for _ in range(MAX_ATTEMPTS):
        result = operation()
        if not isinstance(result, Failure) or result.ran is Ran.NO:
            return result
    return CHANGE_UNKNOWN.with_reason(
        f"store did not answer; repeat with change id {body.change_id}"
    )


def _log_change(event: str, body, **fields) -> None:
    _log.notice(
        event, change_id=body.change_id, operator=body.operator, **fields
    )
