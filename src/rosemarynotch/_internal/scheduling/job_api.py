"""Operations on jobs that a node offers to callers."""

from collections.abc import Callable
import uuid

import attrs

from rosemarynotch._internal.exceptions import CONFIGURATION_MISSING
from rosemarynotch._internal.exceptions import CONFIGURATION_STALE
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_MEMORY_FULL
from rosemarynotch._internal.exceptions import KEY_INVALID
from rosemarynotch._internal.exceptions import KEY_MISSING
from rosemarynotch._internal.exceptions import OVERLOADED
from rosemarynotch._internal.exceptions import QUEUE_UNKNOWN
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.memory_admission import MemoryAdmission
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.phase_reader import PhaseReader
from rosemarynotch._internal.scheduling.policy import Admission
from rosemarynotch._internal.scheduling.policy import memory_retry_s
from rosemarynotch._internal.scheduling.policy import outage_retry_s
from rosemarynotch._internal.scheduling.policy import RoomRetry
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.refused_jobs import RefusedJobs
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["CallerRequest", "JobApi"]

# A node that has not reached the store for this time accepts no jobs, since
# other nodes may know a newer configuration. A job is stored only under the
# newest one, whatever its node knows.
MAX_CONTACT_AGE_S = 2.5
# The same limit while the last call to the store has failed: the store would
# most likely not answer a write of this node, but another node may reach it.
MAX_FAILING_AGE_S = 1.0
# Attempts to accept a job while the configuration changes repeatedly.
MAX_ATTEMPTS = 4


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request with a known queue and a valid key.

    :ivar organisation: None for a call without a key to a public queue
    :ivar wait_ms: how long the caller waits, 0 if not given
    """

    configuration: Configuration
    queue: QueuePolicy
    host: str
    path: str
    key: str | None
    organisation: str | None
    wait_ms: int

    @property
    def access(self) -> CallerAccess:
        """Return which jobs the caller may access."""
        return CallerAccess(self.organisation, self.queue.name)


class JobApi:
    """Checks the requests of callers and passes their jobs to the intake.

    :param admission: decides which jobs are refused for lack of room
    :param room_retry: decides when their callers should come back
    """

    def __init__(
        self,
        config_feed: ConfigFeed,
        intake: JobIntake,
        clock: Clock,
        metrics: Metrics,
        log: Callable[..., None],
        phase_reader: PhaseReader,
        admission: Admission,
        room_retry: RoomRetry,
    ) -> None:
        self._admission = admission
        self._room_retry = room_retry
        self._refused_jobs = RefusedJobs()
        self._memory = MemoryAdmission()
        self._phase_reader = phase_reader
        self._config_feed = config_feed
        self._intake = intake
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._is_shutting_down = False

    @property
    def is_ready(self) -> bool:
        """Return whether the node can accept jobs."""
        return (
            not self._is_shutting_down
            and self._config_feed.current is not None
            and self._is_in_contact()
        )

    def mark_not_ready(self) -> None:
        """Report the node as not ready from now on."""
        self._is_shutting_down = True

    def resolve_request(
        self, *, host: str, path: str, key: str | None, wait_ms: int
    ) -> CallerRequest | Failure:
        """Find the queue of a request and check its key.

        A key must be known, also on a public queue.

        :param key: None for a call without credentials, empty if they are no
            key
        :returns: the request, CONFIGURATION_MISSING, QUEUE_UNKNOWN,
            KEY_INVALID or KEY_MISSING
        """
        configuration = self._config_feed.current
        if configuration is None:
            return CONFIGURATION_MISSING
        queue = configuration.find_queue(host, path)
        if queue is None:
            return QUEUE_UNKNOWN.with_reason(f"{host}{path}")
        organisation = configuration.organisation_of(key) if key else None
        if organisation is None:
            if key is not None:
                return KEY_INVALID
            if not queue.is_public:
                return KEY_MISSING
        return CallerRequest(
            configuration=configuration,
            queue=queue,
            host=host,
            path=path,
            key=key,
            organisation=organisation,
            wait_ms=wait_ms,
        )

    def submit(
        self, request: CallerRequest, job_id: str, spec: JobSpec
    ) -> None | Failure:
        """Accept a job.

        :returns: None if the job is stored, otherwise the failure
        """
        started_s = self._clock.monotonic_s()
        result = self._submit(request, job_id, spec)
        if result is not None and self._config_feed.is_failing:
            result = self._with_outage_delay(result, job_id)
        took_ms = (self._clock.monotonic_s() - started_s) * 1000
        outcome = result.code if result else "accepted"
        queue = request.queue.name
        self._metrics.count("submissions", queue=queue, outcome=outcome)
        self._metrics.record_ms("submission", took_ms, queue=queue)
        self._log(
            "job submitted",
            job=job_id,
            queue=queue,
            pool=request.queue.pool,
            organisation=request.organisation,
            configuration=request.configuration.version,
            outcome=outcome,
            why=result.reason if result else "",
            took_ms=round(took_ms, 1),
        )
        return result

    def _with_outage_delay(self, failure: Failure, job_id: str) -> Failure:
        """Tell the caller when the store is expected back, if it is away."""
        if not (
            failure.is_a(CONFIGURATION_STALE)
            or failure.is_a(STORE_UNAVAILABLE)
        ):
            return failure
        age_s = self._config_feed.contact_age_s()
        return failure.with_retry_after(outage_retry_s(age_s, job_id))

    def _submit(
        self, request: CallerRequest, job_id: str, spec: JobSpec
    ) -> None | Failure:
        if not self._is_in_contact():
            return CONFIGURATION_STALE
        refusal = self._refuse_if_too_late(
            request, job_id, spec
        ) or self._refuse_without_memory(request, job_id, spec)
        if refusal is not None:
            return refusal
        for _ in range(MAX_ATTEMPTS):
            record = SubmissionRecord(
                policy=request.queue,
                organisation=request.organisation or "",
                spec=spec,
                accepted_unix_ms=round(self._clock.wall_s() * 1000),
                attempt_id=uuid.uuid4().hex,
            )
            answer = self._intake.submit(
                job_id,
                record,
                request.configuration.revision,
                request.wait_ms,
            )
            if answer is None:
                self._memory.record_accepted(
                    record.organisation, spec, record.accepted_unix_ms
                )
            if not isinstance(answer, CommitConflict):
                return answer
            self._config_feed.refresh()
            renewed = self.resolve_request(
                host=request.host,
                path=request.path,
                key=request.key,
                wait_ms=request.wait_ms,
            )
            if isinstance(renewed, Failure):
                return renewed
            request = renewed
        return OVERLOADED.with_reason(
            "the configuration changed during each attempt to store the job"
        )

    def _refuse_if_too_late(
        self, request: CallerRequest, job_id: str, spec: JobSpec
    ) -> Failure | None:
        """Refuse a job that would end too late to be of use.

        A job that has been accepted before is not refused, since it will run,
        nor is one of which the store does not tell whether it was.
        """
        now_s = self._clock.monotonic_s()
        refusals = self._refused_jobs.count(job_id, now_s)
        decision = self._admission.decide(
            request.queue,
            job_id,
            spec,
            self._intake.load(),
            self._clock.wall_s() * 1000,
            refusals > 0,
        )
        if decision.is_accepted or self._intake.is_known(job_id) is not False:
            return None
        self._refused_jobs.record(job_id, now_s)
        self._metrics.count(
            "refused_jobs", queue=request.queue.name, reason="too-late"
        )
        delay_ms = round(decision.delay_ms)
        reason = f"the job would start too late, in about {delay_ms} ms"
        return OVERLOADED.with_reason(reason).with_retry_after(
            self._room_retry.retry_s(
                decision.room_in_ms, decision.delay_ms, job_id, refusals
            )
        )

    def _refuse_without_memory(
        self, request: CallerRequest, job_id: str, spec: JobSpec
    ) -> Failure | None:
        """Refuse a job for which the leader has no memory.

        A job that has been accepted before is not refused, nor is one of which
        the store does not tell whether it was.
        """
        excess = self._memory.find_excess(
            request.organisation or "", spec, self._intake.load()
        )
        if not excess or self._intake.is_known(job_id) is not False:
            return None
        self._metrics.count(
            "refused_jobs", queue=request.queue.name, reason="memory"
        )
        return JOB_MEMORY_FULL.with_reason(excess).with_retry_after(
            memory_retry_s(job_id)
        )

    def _is_in_contact(self) -> bool:
        is_failing = self._config_feed.is_failing
        max_age_s = MAX_FAILING_AGE_S if is_failing else MAX_CONTACT_AGE_S
        return self._config_feed.contact_age_s() < max_age_s

    def phase(self, request: CallerRequest, job_id: str) -> Phase | Failure:
        """Return the phase of a job."""
        phase = self._phase_reader.read(job_id, request.access)
        self._count_call("state", request, phase)
        return phase

    def cancel(self, request: CallerRequest, job_id: str) -> None | Failure:
        """Cancel a job, if the caller may access it."""
        failure = self._intake.cancel(job_id, request.access)
        self._count_call("cancel", request, failure)
        self._log(
            "job cancelled by its caller",
            job=job_id,
            outcome=failure.code if failure else "recorded",
        )
        return failure

    def waiting_count(self, request: CallerRequest) -> int | Failure:
        """Return the number of jobs that wait in the request's queue."""
        count = self._intake.waiting_count(request.queue.name)
        self._count_call("waiting", request, count)
        return count

    def _count_call(self, call: str, request: CallerRequest, result) -> None:
        outcome = result.code if isinstance(result, Failure) else "ok"
        self._metrics.count(
            "calls", call=call, queue=request.queue.name, outcome=outcome
        )
