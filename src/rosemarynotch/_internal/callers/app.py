"""WSGI application for callers."""

import threading

from rosemarynotch._internal.callers.answers import respond
from rosemarynotch._internal.callers.answers import respond_json
from rosemarynotch._internal.callers.forwarding import Forwarder
from rosemarynotch._internal.callers.jobs import JobEndpoints
from rosemarynotch._internal.callers.jobs import JOBS_PREFIX
from rosemarynotch._internal.callers.parsing import parse_request
from rosemarynotch._internal.callers.parsing import SERVICE_PREFIX
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure

__all__ = ["CallerApp", "HEALTH_PATH"]

HEALTH_PATH = "/healthz"
# Part of the requests in hand that is left to urgent queues.
URGENT_FRACTION = 0.1


def _never():
    return False


class CallerApp:
    """Requests to services, job endpoints and the load balancer's probe.

    :param in_force: the configuration
    :param freshness: whether keys can be checked at the moment
    :param forwarder: runs requests
    :param jobs: accepts jobs
    :param max_requests: bound on requests in hand, below the number of
        threads so that refusals, probes and job calls always get one
    """

    def __init__(
        self,
        *,
        in_force,
        freshness,
        forwarder: Forwarder,
        jobs,
        metrics,
        max_requests: int,
    ) -> None:
        self._in_force = in_force
        self._freshness = freshness
        self._forwarder = forwarder
        self._jobs = JobEndpoints(
            in_force=in_force,
            freshness=freshness,
            jobs=jobs,
        )
        self._metrics = metrics
        self._leaving = threading.Event()
        self._lock = threading.Lock()
        self._max_requests = max_requests
        self._requests_count = 0

    def __call__(self, environ, start_response):
        """Answer one request of a caller."""
        path = environ["PATH_INFO"]
        if path.startswith(SERVICE_PREFIX):
            result = self._serve(environ)
            return respond(result, environ["REQUEST_METHOD"], start_response)
        if path == HEALTH_PATH:
            return self._answer_probe(start_response)
        if path == JOBS_PREFIX or path.startswith(JOBS_PREFIX + "/"):
            return self._jobs(environ, start_response)
        failure = failures.POOL_UNKNOWN.with_reason("no such path")
        return respond(failure, environ["REQUEST_METHOD"], start_response)

    def mark_not_ready(self) -> None:
        """Let the load balancer's probe fail; requests are still served."""
        self._leaving.set()

    def _serve(self, environ):
        document = self._in_force.current.document
        parsed = parse_request(environ, document, self._freshness)
        if isinstance(parsed, Failure):
            self._metrics.count("refused", team="", code=parsed.code)
            return parsed
        if not self._try_take(parsed.queue.urgent):
            self._metrics.count("refused", team="", code="entry-full")
            return failures.QUEUE_FULL.with_reason("the entry is full")
        try:
            gone = environ.get("waitress.client_disconnected", _never)
            return self._forwarder.run(parsed.request, parsed.queue, gone)
        finally:
            with self._lock:
                self._requests_count -= 1

    def _try_take(self, urgent):
        bound = self._max_requests
        if not urgent:
            bound -= int(bound * URGENT_FRACTION)
        with self._lock:
            if self._requests_count >= bound:
                return False
            self._requests_count += 1
            return True

    def _answer_probe(self, start_response):
        if self._leaving.is_set():
            return respond(failures.SHUTTING_DOWN, "GET", start_response)
        return respond_json(200, b'{"state":"serving"}', start_response)
