"""Tests of the HTTP client for the platform's services."""

import socket
import threading

import testtools

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import HttpClient

WAIT_S = 5.0


class GivenUpRequestTest(testtools.TestCase):
    """Guards against a request that arrives after its caller gave it up.

    A cut held up an order for a VM. The system sent it on when the cut was
    over, and a lower fence followed a higher one (rule ONE).
    """

    def setUp(self):
        super().setUp()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.server.settimeout(WAIT_S)
        self.outcomes = []
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self):
        """Read the request, send no response, and note the end."""
        peer, _ = self.server.accept()
        with peer:
            peer.settimeout(WAIT_S)
            try:
                while peer.recv(4096):
                    continue
                self.outcomes.append("closed")
            except ConnectionResetError:
                self.outcomes.append("reset")

    def test_connection_is_reset(self):
        host, port = self.server.getsockname()
        client = HttpClient(f"{host}:{port}", SystemClock(), timeout_s=0.1)
        failed = client.call("POST", ("order",), body=b"{}")
        self.thread.join(WAIT_S)
        self.assertIs(Ran.UNKNOWN, failed.ran)
        self.assertEqual(["reset"], self.outcomes)
