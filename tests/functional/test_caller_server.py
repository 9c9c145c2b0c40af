"""Tests of callers, server and targets together, over sockets."""

import http.client
import json
import threading
import time

import testtools

from rosemarynotch._internal.callers.server import CallerServer
from tests.lib.entries import EntryUnderTest
from tests.lib.targets import answer_bytes
from tests.lib.targets import ScriptedTarget

KEY = {"Authorization": "Bearer red.k1.secret"}


class CallerServerTest(testtools.TestCase):
    """Guards against wrong answers and interrupted requests."""

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

    def call(self, method, path, body=None, headers=KEY):
        connection = http.client.HTTPConnection(self.server.address)
        self.addCleanup(connection.close)
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer, answer.read()

    def test_body_reaches_the_target_and_comes_back(self):
        body = b"x" * 200_000
        answer, received = self.call("POST", "/s/quotes/a%20b?c=d", body)
        self.assertEqual((200, body), (answer.status, received))
        self.assertEqual("2", answer.headers["X-Two"])
        request = self.target.requests[0]
        self.assertTrue(request.startswith(b"POST /a%20b?c=d HTTP/1.1"))
        self.assertIn(b"Rosemarynotch-Team: red\r\n", request)
        self.assertNotIn(b"secret", request)
        self.server.stop(0)

    def test_stop_finishes_what_runs_and_refuses_the_probe(self):
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
