"""Tests of the HTTP client with targets that violate the protocol."""

import math
import threading
import time

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.targets.client import MAX_ANSWER_BYTES
from rosemarynotch._internal.targets.client import TargetClient
from rosemarynotch._internal.utils.clock import SystemClock
from tests.lib.clocks import ManualClock
from tests.lib.entries import caller_request
from tests.lib.targets import answer_bytes
from tests.lib.targets import ScriptedTarget
from tests.lib.targets import unused_address

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BIG = MAX_ANSWER_BYTES + 1


def _send_byte_by_byte(connection):
    for byte in answer_bytes(b"x" * 100):
        connection.sendall(bytes([byte]))
        time.sleep(0.02)


# Bound of waits that a correct run never reaches.
ANSWER_WAIT_S = 30.0
# What a target does with a connection, and the expected failure.
VIOLATIONS = {
    "closes before the first byte": (b"", failures.ANSWER_TRUNCATED),
    "closes in the head": (HEAD, failures.ANSWER_TRUNCATED),
    "closes in the body": (answer_bytes()[:-1], failures.ANSWER_TRUNCATED),
    "closes in a chunk": (CHUNKED + b"5\r\nab", failures.ANSWER_TRUNCATED),
    "ends without a last chunk": (
        CHUNKED + b"2\r\nab\r\n",
        failures.ANSWER_TRUNCATED,
    ),
    "does not delimit": (HEAD + b"\r\nok", failures.ANSWER_TRUNCATED),
    "delimits twice": (
        CHUNKED[:-2] + b"Content-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        failures.ANSWER_TRUNCATED,
    ),
    "sends two lengths": (
        answer_bytes(headers=b"Content-Length: 1\r\n"),
        failures.ANSWER_TRUNCATED,
    ),
    "answers too much": (answer_bytes(b"x" * BIG), failures.ANSWER_TRUNCATED),
    "does not speak HTTP": (b"\x00\x01\r\n\r\n", failures.ANSWER_TRUNCATED),
    "sends nothing": (lambda c: time.sleep(0.6), failures.TARGET_TIMEOUT),
    "sends one byte at a time": (_send_byte_by_byte, failures.TARGET_TIMEOUT),
}


class TargetContractTest(testtools.TestCase):
    """Guards against partial answers and answers to other requests."""

    def start(self, behave):
        target = ScriptedTarget(behave)
        self.addCleanup(target.close)
        return target

    def test_violation_is_a_typed_failure_with_unknown_outcome(self):
        """Guards against partial answers, endless waits and wrong outcomes.

        The target violates the protocol, so the request may have run.
        """
        for name, (action, expected) in VIOLATIONS.items():
            with self.subTest(name):

                def behave(connection, _request, action=action):
                    if callable(action):
                        action(connection)
                    else:
                        connection.sendall(action)
                    return False

                client = TargetClient(SystemClock())
                address = self.start(behave).address
                start_s = time.monotonic()
                result = client.send(address, caller_request(), 0.3)
                self.assertIsInstance(result, Failure, name)
                self.assertEqual(expected.code, result.code, name)
                self.assertEqual("unknown", result.ran, name)
                self.assertTrue(time.monotonic() - start_s < 2, name)

    def test_refused_connection_did_not_run(self):
        """Guards against an unknown outcome of a request that was not sent."""
        client = TargetClient(SystemClock())
        result = client.send(unused_address(), caller_request(), 1.0)
        self.assertEqual("target-unreachable", result.code)
        self.assertEqual("no", result.ran)

    def test_request_that_is_too_late_is_not_sent(self):
        """Guards against a byte sent after the time at which it may run."""
        target = self.start(lambda c, _: c.sendall(answer_bytes(b"x")))
        client = TargetClient(SystemClock())
        request = caller_request(method="POST", body=b"body")
        for send_by_s in (0.0, math.inf):
            result = client.send(
                target.address, request, 5.0, send_by_s=send_by_s
            )
            if not send_by_s:
                self.assertTrue(result.is_a(failures.GRANT_EXPIRED))
                self.assertIs(Ran.NO, result.ran)
                self.assertEqual([], target.requests)
        self.assertEqual(200, result.status)

    def test_late_answer_never_reaches_another_caller(self):
        """Guards against an answer to an earlier request.

        A connection with an outstanding answer must not be reused. The target
        sends the late answer before, while or after another request waits for
        its answer.
        """
        for moment in ("before", "while", "after"):
            with self.subTest(moment):
                self._check_late_answer(moment)

    def _check_late_answer(self, moment):
        release, sent = threading.Event(), threading.Event()

        def behave(connection, request):
            name = request.split()[1][1:]
            if name == b"late":
                release.wait(ANSWER_WAIT_S)
                try:
                    connection.sendall(answer_bytes(name))
                finally:
                    sent.set()
                return
            if moment == "while":
                release.set()
                sent.wait(ANSWER_WAIT_S)
            connection.sendall(answer_bytes(name))

        target = self.start(behave)
        client = TargetClient(SystemClock())
        late = caller_request(path="/late")
        result = client.send(target.address, late, 0.05)
        self.assertEqual("target-timeout", result.code)
        if moment == "before":
            release.set()
            self.assertTrue(sent.wait(ANSWER_WAIT_S))
        self._check_other_answer(client, target)
        if moment == "after":
            release.set()
            self.assertTrue(sent.wait(ANSWER_WAIT_S))
        self._check_other_answer(client, target)

    def _check_other_answer(self, client, target):
        other = caller_request(path="/other")
        result = client.send(target.address, other, ANSWER_WAIT_S)
        self.assertEqual(b"other", result.body)

    def test_answer_at_the_timeout_goes_to_its_own_caller(self):
        """Guards against a timed-out answer that is read by the next request.

        The target answers about when the client gives up. Either the caller
        gets its own answer or a timeout; the next caller gets its own answer.
        """
        timeout_s = 0.05

        def behave(connection, request):
            name = request.split()[1][1:]
            if name == b"late":
                time.sleep(timeout_s)
            connection.sendall(answer_bytes(name))

        target = self.start(behave)
        client = TargetClient(SystemClock())
        late = caller_request(path="/late")
        for _ in range(10):
            result = client.send(target.address, late, timeout_s)
            if isinstance(result, Failure):
                self.assertEqual("target-timeout", result.code)
            else:
                self.assertEqual(b"late", result.body)
            self._check_other_answer(client, target)

    def test_bytes_after_an_answer_never_reach_another_caller(self):
        """Guards against surplus bytes that are read as the next answer."""
        # The surplus bytes arrive with the answer or after it.
        for is_late in (False, True):
            requests = []
            answered, sent = threading.Event(), threading.Event()

            def behave(
                connection,
                request,
                requests=requests,
                answered=answered,
                sent=sent,
                is_late=is_late,
            ):
                requests.append(request)
                answer = answer_bytes(b"%d" % len(requests))
                surplus = answer_bytes(b"surplus")
                if is_late:
                    connection.sendall(answer)
                    self.assertTrue(answered.wait(ANSWER_WAIT_S))
                    connection.sendall(surplus)
                else:
                    connection.sendall(answer + surplus)
                sent.set()

            target = self.start(behave)
            client = TargetClient(SystemClock())
            for expected in (b"1", b"2"):
                answered.clear()
                sent.clear()
                result = client.send(target.address, caller_request(), 10.0)
                self.assertEqual(expected, result.body)
                answered.set()
                self.assertTrue(sent.wait(ANSWER_WAIT_S))
            self.assertEqual(2, target.connections_count)

    def test_idle_connections_are_reused_within_their_limits(self):
        """Guards against needless new connections and against old ones.

        A target may close an old connection while the request is sent; only
        idempotent requests can then be repeated.
        """
        target = self.start(lambda c, _: c.sendall(answer_bytes()))
        clock = ManualClock()
        client = TargetClient(clock)
        # Idle time, whether the request is idempotent, total connections.
        for idle_s, idempotent, count in (
            (0, False, 1),
            (0.4, False, 1),
            (0.6, False, 2),
            (4.9, True, 2),
            (5.1, True, 3),
        ):
            clock.advance(idle_s)
            request = caller_request(idempotent=idempotent)
            client.send(target.address, request, 1.0)
            self.assertEqual(count, target.connections_count, idle_s)

    def test_connection_closed_while_idle_is_not_reused(self):
        """Guards against failures on connections that a target has closed."""

        def behave(connection, _request):
            connection.sendall(answer_bytes())
            return False

        target = self.start(behave)
        client = TargetClient(SystemClock())
        for _ in range(3):
            result = client.send(target.address, caller_request(), 1.0)
            self.assertEqual(200, result.status)
            time.sleep(0.05)

    def test_large_request_arrives_whole(self):
        """Guards against a request body that is sent only in part."""
        target = self.start(lambda c, _: c.sendall(answer_bytes()))
        body = b"x" * 512 * 1024
        request = caller_request(method="POST", body=body)
        client = TargetClient(SystemClock())
        self.assertEqual(200, client.send(target.address, request, 5).status)
        self.assertTrue(target.requests[0].endswith(body))
