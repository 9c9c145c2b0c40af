"""Submits jobs and waits for their results."""

import attrs
import msgspec

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.jobs import JobAccepted
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import JobStatus
from rosemarynotch._internal.models.jobs import JobSubmission
from rosemarynotch._internal.replay.sending import classify_failure
from rosemarynotch._internal.replay.sending import EntrySender
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.sending import WRONG_ANSWER
from rosemarynotch._internal.replay.trace import ENDED_PREFIX
from rosemarynotch._internal.replay.trace import TraceRow

__all__ = ["JobSender"]

POLL_INTERVAL_S = 0.25
# A job that has not ended within this time of its submission is reported as
# NOT_ENDED.
JOB_TIMEOUT_S = 60.0
NOT_ENDED = "job-not-ended"
JOBS_PATH = ("v1", "jobs")


class JobSender(EntrySender):
    """Sends requests and submits jobs to entries."""

    def send(self, row: TraceRow) -> Result:
        """Send a request or submit a job, and wait for the outcome."""
        return super().send(row) if row.job is None else self._run_job(row)

    def _run_job(self, row: TraceRow) -> Result:
        start_s = self._clock.monotonic_s()
        reply = self._client(row).call(
            "POST",
            JOBS_PATH,
            body=msgspec.json.encode(_submission(row)),
            headers=self._caller_headers(row),
        )
        failed = classify_failure(reply)
        result = Result(row=row, code="", ran=Ran.YES, latency_ms=0.0)
        if failed is not None:
            result = attrs.evolve(result, code=failed[0], ran=failed[1])
        else:
            accepted = msgspec.json.decode(reply.body, type=JobAccepted)
            accepted_ms = self._elapsed_ms(start_s)
            if row.job.cancel_ms:
                self._cancel(row, accepted.job_id)
            result = attrs.evolve(
                result,
                code=self._wait_for_end(row, accepted.job_id, start_s),
                job_id=accepted.job_id,
                accepted_ms=accepted_ms,
            )
        return attrs.evolve(result, latency_ms=self._elapsed_ms(start_s))

    def _elapsed_ms(self, start_s: float) -> float:
        return (self._clock.monotonic_s() - start_s) * 1000

    def _cancel(self, row: TraceRow, job_id: str) -> None:
        """Cancel a job; its final state shows whether that succeeded."""
        self._clock.sleep(row.job.cancel_ms / 1000)
        self._client(row).call(
            "POST",
            (*JOBS_PATH, job_id, "cancel"),
            repeatable=True,
            headers=self._caller_headers(row),
        )

    def _wait_for_end(self, row: TraceRow, job_id: str, start_s: float) -> str:
        """Poll a job until it has ended and return the code of its end.

        Failed calls are repeated, since an entry may be busy or may not yet
        know a job that another entry accepted.
        """
        while self._elapsed_ms(start_s) < JOB_TIMEOUT_S * 1000:
            reply = self._client(row).call(
                "GET",
                (*JOBS_PATH, job_id),
                repeatable=True,
                headers=self._caller_headers(row),
            )
            if classify_failure(reply) is None:
                status = msgspec.json.decode(reply.body, type=JobStatus)
                if status.state.is_final:
                    return _end_code(row, status)
            self._clock.sleep(POLL_INTERVAL_S)
        return NOT_ENDED


def _submission(row: TraceRow) -> JobSubmission:
    """Return a job whose payload sets how the stand-in runs its task."""
    behaviour = {
        "run_ms": row.work_ms,
        "cores": row.job.cores,
        "memory_mb": row.job.memory_mb,
        "result": row.request_id,
    }
    if row.job.fail_count:
        behaviour["fail"] = "stated in the trace"
        behaviour["fail_count"] = row.job.fail_count
    return JobSubmission(
        cores=row.job.cores,
        memory_mb=row.job.memory_mb,
        payload=msgspec.json.encode(behaviour).decode(),
        idempotent=row.idempotent,
    )


def _end_code(row: TraceRow, status: JobStatus) -> str:
    if status.state is JobState.DONE and status.result != row.request_id:
        return WRONG_ANSWER
    return ENDED_PREFIX + status.state
