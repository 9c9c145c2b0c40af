"""Tests of the caller server with callers and targets over sockets."""

import http.client
import json
import socket
import threading
import time

import testtools

from rosemarynotch._internal.callers.server import CallerServer
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import KEY
from tests.lib.targets import answer_bytes
from tests.lib.targets import ScriptedTarget

HEADERS = {"Authorization": f"Bearer {KEY}"}


class CallerServerTest(testtools.TestCase):
    """Guards against wrong answers and against interrupted requests."""

    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.target = ScriptedTarget(self.behave)
        self.addCleanup(self.target.close)
        self.entry = EntryUnderTest([self.target.address])
        self.entry.dispatcher.start()
        self.addCleanup(self.entry.dispatcher.stop)
        self.server = CallerServer(self.entry.app, "127.0.0.1", 0, 16)
        self.server.start()

    def behave(self, connection, request):
        if b"/slow" in request:
            self.release.wait(10)
        body = request.partition(b"\r\n\r\n")[2] or b"ok"
        connection.sendall(answer_bytes(body, headers=b"X-Two: 2\r\n"))

    def call(self, method, path, body=None, headers=HEADERS):
        connection = http.client.HTTPConnection(self.server.address)
        self.addCleanup(connection.close)
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer, answer.read()

    def test_body_reaches_the_target_and_comes_back(self):
        """Guards against changed requests, and keys that targets receive."""
        body = b"x" * 200_000
        answer, received = self.call("POST", "/s/quotes/a%20b?c=d", body)
        self.assertEqual((200, body), (answer.status, received))
        self.assertEqual("2", answer.headers["X-Two"])
        request = self.target.requests[0]
        self.assertTrue(request.startswith(b"POST /a%20b?c=d HTTP/1.1"))
        self.assertIn(b"Rosemarynotch-Team: red\r\n", request)
        self.assertNotIn(KEY.encode(), request)

    def send_raw(self, data, half_close=False):
        """Send bytes on a new connection and return all bytes received."""
        host, _, port = self.server.address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            return sock.makefile("rb").read()

    def test_requests_that_waitress_refuses_get_typed_refusals(self):
        """Guards against refusals without a code and an outcome.

        The HTTP server refuses these requests before the entry sees them.
        """
        head = b"POST /s/quotes/x HTTP/1.1\r\n"
        for data, status, code in (
            (head + b"Content-Length: 600000\r\n\r\n", 413, "body-too-large"),
            (head + b"Bad Header\r\n\r\n", 400, "request-malformed"),
            (head + b"Content-Length: x\r\n\r\n", 400, "request-malformed"),
            (
                head + b"Transfer-Encoding: gzip\r\n\r\n",
                501,
                "request-malformed",
            ),
            (head + b"A: " + b"x" * 40000, 431, "request-malformed"),
        ):
            answer = self.send_raw(data)
            self.assertIn(b" %d " % status, answer[:20])
            self.assertIn(b"Rosemarynotch-Ran: no\r\n", answer)
            self.assertIn(b'"code":"%s"' % code.encode(), answer)
        self.assertEqual([], self.target.requests)

    def test_truncated_body_does_not_run(self):
        """Guards against running a request whose caller stopped sending."""
        key = f"Authorization: Bearer {KEY}\r\n".encode()
        head = b"POST /s/quotes/x HTTP/1.1\r\nContent-Length: 9\r\n" + key
        self.assertEqual(
            b"", self.send_raw(head + b"\r\nhalf", half_close=True)
        )
        self.assertEqual([], self.target.requests)

    def test_disconnect_drops_queued_but_not_running_requests(self):
        """Guards against running queued requests nobody waits for.

        A running request keeps its permit until it ends, although its caller
        has disconnected.
        """
        self.entry.permits.portions["red"] = 1
        request = "POST /s/quotes/slow{} HTTP/1.1\r\nAuthorization: "
        request += f"Bearer {KEY}\r\n\r\n"
        host, _, port = self.server.address.rpartition(":")
        for number in (1, 2):
            sock = socket.create_connection((host, int(port)))
            sock.sendall(request.format(number).encode())
            self.wait_for(lambda: self.target.requests)
            self.wait_for(lambda: self.queued() == number - 1)
            sock.close()
        self.wait_for(lambda: not self.queued())
        self.assertEqual(1, self.entry.permits.running("red"))
        counts = self.entry.metrics.counts
        self.assertEqual(1, counts["refused", "caller-gone"])
        self.release.set()
        self.wait_for(lambda: not self.entry.permits.running("red"))
        self.assertEqual(1, len(self.target.requests))

    def queued(self):
        rows = self.entry.dispatcher.demand()
        return sum(row.queued_requests for row in rows)

    def wait_for(self, condition):
        end_s = time.monotonic() + 10
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "condition not met")
            time.sleep(0.01)

    def test_stop_finishes_running_requests_and_refuses_the_probe(self):
        """Guards against a stop that interrupts requests.

        The load balancer has to learn of it from the probe before the entry
        refuses connections.
        """
        results = []
        caller = threading.Thread(
            target=lambda: results.append(self.call("GET", "/s/quotes/slow"))
        )
        caller.start()
        while not self.target.requests:
            time.sleep(0.01)
        stopper = threading.Thread(target=self.server.stop, args=(0.5,))
        stopper.start()
        time.sleep(0.1)
        answer, body = self.call("GET", "/healthz")
        self.assertEqual(503, answer.status)
        self.assertEqual("shutting-down", json.loads(body)["code"])
        time.sleep(0.6)
        self.assertRaises(OSError, self.call, "GET", "/healthz")
        self.assertTrue(stopper.is_alive())
        self.release.set()
        caller.join(10)
        stopper.join(10)
        self.assertFalse(stopper.is_alive())
        self.assertEqual([200], [answer.status for answer, _ in results])
        self.assertEqual("close", results[0][0].headers["Connection"])
