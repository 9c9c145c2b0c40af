"""Endpoints for jobs."""

import attrs
import msgspec

from rosemarynotch._internal.callers.answers import respond
from rosemarynotch._internal.callers.answers import respond_json
from rosemarynotch._internal.callers.parsing import find_holder
from rosemarynotch._internal.callers.parsing import read_body
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.jobs import JobSubmission

__all__ = ["JobEndpoints", "JOBS_PREFIX"]

ACCEPTED = 202
OK = 200
JOBS_PREFIX = "/v1/jobs"


class JobEndpoints:
    """Submission, status and cancellation of jobs.

    :param jobs: the intake
    """

    def __init__(self, *, in_force, freshness, jobs) -> None:
        self._in_force = in_force
        self._freshness = freshness
        self._jobs = jobs

    def __call__(self, environ, start_response):
        """Answer one request below ``/v1/jobs``."""
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"][len(JOBS_PREFIX) :].split("/")[1:]
        if not parts and method == "POST":
            result, status = self._submit(environ), ACCEPTED
        elif len(parts) == 1 and method == "GET":
            result, status = self._status(environ, parts[0]), OK
        elif len(parts) == 2 and parts[1] == "cancel" and method == "POST":
            result, status = self._cancel(environ, parts[0]), ACCEPTED
        else:
            result = failures.REQUEST_MALFORMED.with_reason("no such call")
        if isinstance(result, Failure):
            return respond(result, method, start_response)
        body = msgspec.json.encode(result if result is not None else {})
        return respond_json(status, body, start_response)

    def _submit(self, environ):
        document = self._in_force.current.document
        name = environ.get("HTTP_ROSEMARYNOTCH_QUEUE", "")
        queue = document.queue(name)
        if queue is None:
            return failures.QUEUE_UNKNOWN.with_reason("no such queue")
        team = self._team(environ, queue)
        if isinstance(team, Failure):
            return team
        submission = self._submission(environ)
        if isinstance(submission, Failure):
            return submission
        return self._jobs.submit(team, queue, submission)

    def _submission(self, environ):
        body = read_body(environ)
        if isinstance(body, Failure):
            return body
        try:
            submission = msgspec.json.decode(body, type=JobSubmission)
        except (msgspec.DecodeError, ValueError) as error:
            return failures.REQUEST_MALFORMED.with_reason(str(error))
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            submission = attrs.evolve(submission, idempotency_key=key)
        return submission

    def _status(self, environ, job_id):
        team = self._team(environ, None)
        if isinstance(team, Failure):
            return team
        return self._jobs.status(team, job_id)

    def _cancel(self, environ, job_id):
        team = self._team(environ, None)
        if isinstance(team, Failure):
            return team
        return self._jobs.cancel(team, job_id)

    def _team(self, environ, queue):
        holder = find_holder(
            environ,
            queue,
            self._in_force.current.document,
            self._freshness,
        )
        return holder if isinstance(holder, Failure) else holder[0]
