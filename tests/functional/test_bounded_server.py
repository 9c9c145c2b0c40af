"""Tests of requests at and beyond the limits of a server, over sockets."""

import socket
import threading
import time

import testtools

from rosemarynotch._internal.utils.graceful_server import GracefulServer
from rosemarynotch._internal.utils.graceful_server import ServerLimits
from rosemarynotch._internal.utils.limit_events import LimitEvents
from rosemarynotch._internal.utils.request_budget import RequestBudget

MEGABYTE = 1024 * 1024
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = HEAD + b"Content-Length: 2\r\n\r\nab"
# Ends a test that hangs; no check depends on elapsed time.
WAIT_S = 60.0


class App:
    """Answers with the size of the body."""

    def __init__(self):
        self.sizes = []
        self.waiting = 0
        self.release = threading.Event()

    def mark_not_ready(self):
        """Do nothing."""

    def __call__(self, environ, start_response):
        """Answer one request."""
        if environ["PATH_INFO"] == "/wait":
            self.waiting += 1
            self.release.wait(WAIT_S)
        size = len(environ["wsgi.input"].read())
        self.sizes.append(size)
        body = str(size).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class BoundedServerCase(testtools.TestCase):
    """Starts a server with a small budget."""

    MEMORY_MB = 160
    CONNECTIONS = 50
    LIMITS = ServerLimits()

    def setUp(self):
        super().setUp()
        self.app = App()
        self.limits = []
        events = LimitEvents(
            lambda name, limit: self.limits.append(limit), lambda *_, **__: 0
        )
        self.budget = RequestBudget(self.MEMORY_MB, events)
        self.socks = []
        self.server = GracefulServer(
            self.app,
            "127.0.0.1",
            0,
            4,
            connections=self.CONNECTIONS,
            limits=lambda: self.LIMITS,
            budget=self.budget,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.addCleanup(self.app.release.set)

    def connect(self):
        host, port = self.server.address.split(":")
        sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self.addCleanup(sock.close)
        self.socks.append(sock)
        return sock

    def connect_and_send(self, data):
        """Return a stream of a new connection on which bytes were sent."""
        sock = self.connect()
        sock.sendall(data)
        return sock.makefile("rwb")

    def exchange(self, data):
        """Send bytes and return the first response."""
        return self.read_response(self.connect_and_send(data))

    def read_response(self, stream):
        """Return one response, empty if the connection was closed."""
        lines = []
        while (line := stream.readline()) not in (b"", b"\r\n"):
            lines.append(line)
        head = b"".join(lines)
        if not head:
            return b""
        size = int(head.lower().split(b"content-length: ")[1].split()[0])
        return head + b"\r\n" + stream.read(size)

    def chunks(self, size, chunk):
        part = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
        return part * (size // chunk) + b"0\r\n\r\n"


class SingleRequestTest(BoundedServerCase):
    """Guards against refusing a request that is inside the limits.

    1 MiB in chunks of 1 byte takes some seconds of processor time, and more
    than the usual time-out beside other load.
    """

    LIMITS = ServerLimits(request_timeout_s=WAIT_S)

    def test_largest_body_in_chunks_of_any_size(self):
        """Guards against limits that count the framing of the chunks."""
        for chunk in (1, 16, 1000, 65536, MEGABYTE):
            answer = self.exchange(CHUNKED + self.chunks(MEGABYTE, chunk))
            size = MEGABYTE // chunk * chunk
            self.assertIn(b"\r\n\r\n%d" % size, answer, chunk)

    def test_body_and_header_that_arrive_slowly(self):
        """Guards against bytes that are lost between two turns."""
        data = HEAD + b"X-Long: " + b"x" * 300 + b"\r\n"
        data += b"Transfer-Encoding: chunked\r\n\r\n"
        data += self.chunks(200, 10) + b"" + ORDINARY
        sock = self.connect()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for position in range(len(data)):
            sock.sendall(data[position : position + 1])
            time.sleep(0.001)
        stream = sock.makefile("rb")
        self.assertIn(b"\r\n\r\n200", self.read_response(stream))
        self.assertIn(b"\r\n\r\n2", self.read_response(stream))

    def test_extensions_and_trailers_of_usual_size(self):
        """Guards against refusing framing that the protocol allows."""
        body = b'2;name="a value"\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n'
        self.assertIn(b"\r\n\r\n2", self.exchange(CHUNKED + body))

    def test_expected_continue(self):
        """Guards against requests that wait for a body without an end."""
        expect = HEAD + b"Expect: 100-continue\r\n"
        self.assertIn(b"\r\n\r\n0", self.exchange(expect + b"\r\n"))
        answer = self.exchange(expect + b"Content-Length: 9000000\r\n\r\n")
        self.assertIn(b" 413 ", answer[:16])
        stream = self.connect_and_send(expect + b"Content-Length: 2\r\n\r\n")
        self.assertIn(b" 100 ", stream.readline())
        self.assertEqual(b"\r\n", stream.readline())
        stream.write(b"ab")
        stream.flush()
        self.assertIn(b"\r\n\r\n2", self.read_response(stream))

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against requests that are lost while others are served."""
        sock = self.connect()
        sent = [
            HEAD + b"Content-Length: %d\r\n\r\n" % n + b"x" * n
            for n in range(1, 400)
        ]
        threading.Thread(target=sock.sendall, args=(b"".join(sent),)).start()
        stream = sock.makefile("rb")
        for size in range(1, 400):
            answer = self.read_response(stream)
            self.assertEqual(b"%d" % size, answer.rpartition(b"\r\n")[2])


class ShortTimeoutTest(BoundedServerCase):
    """Guards against a time-out that ends requests for the server's delay."""

    LIMITS = ServerLimits(request_timeout_s=0.2)

    def test_largest_body_in_the_smallest_chunks(self):
        """Guards against a request that no slow machine would serve.

        The client sends without a pause, and the server takes longer than the
        time-out to parse it.
        """
        data = CHUNKED + self.chunks(MEGABYTE, 1)
        answer = self.exchange(data)
        self.assertIn(b"\r\n\r\n%d" % MEGABYTE, answer)

    def test_request_that_stops(self):
        """Guards against connections that stay open for a missing end."""
        for data in (HEAD, CHUNKED + self.chunks(1000, 1)[:-5]):
            stream = self.connect_and_send(data)
            self.assertEqual(b"", self.read_response(stream))

    def test_request_whose_rest_arrives_slowly(self):
        """Guards against a time that starts again with each byte."""
        sock = self.connect()
        sock.sendall(HEAD + b"Content-Length: 100000\r\n\r\n")
        end_s = time.monotonic() + WAIT_S
        try:
            while time.monotonic() < end_s:
                sock.sendall(b"x")
                time.sleep(0.01)
        except OSError:
            return
        self.fail("the connection stays open")


class RefusalTest(BoundedServerCase):
    """Guards against refusals that are lost, untrue or unbounded."""

    def test_client_that_sends_first_gets_the_whole_refusal(self):
        """Guards against a reset that deletes the refusal on its way."""
        for data, status in (
            (
                HEAD + b"Content-Length: 9000000\r\n\r\n" + bytes(9_000_000),
                413,
            ),
            (CHUNKED + self.chunks(9_000_000, 65536), 413),
            (CHUNKED + b"1;a=" + b"b" * 900_000, 400),
            (CHUNKED + b"0\r\nX: " + b"x" * 900_000, 431),
            (
                CHUNKED
                + b"1;a="
                + b"b" * 3000
                + b"\r\n"
                + b"x\r\n1;a=" * 300_000,
                400,
            ),
            (HEAD + b"X: " + b"x" * 900_000, 431),
        ):
            answer = self.exchange(data)
            self.assertIn(b" %d " % status, answer[:16])
            self.assertNotIn(b"200 OK", answer)
        self.assertEqual([], self.app.sizes)
        self.assertEqual(
            {"body-size", "chunk-extension", "trailer-size", "header-size"},
            set(self.limits) - {"chunk-framing"},
        )

    def test_framing_without_content(self):
        """Guards against chunks whose extensions never end a limit."""
        chunk = b"1;a=" + b"b" * 3000 + b"\r\nx\r\n"
        answer = self.exchange(CHUNKED + chunk * 1000)
        self.assertIn(b" 400 ", answer[:16])
        self.assertEqual(["chunk-framing"], self.limits)


class SmallBudgetTest(BoundedServerCase):
    """Guards against refusals under load that are untrue or incomplete."""

    # A budget of 3 MB.
    MEMORY_MB = 20

    def test_evicted_request_is_refused_and_does_not_run(self):
        """Guards against an eviction without an answer."""
        socks = [self.connect() for _ in range(5)]
        for sock in socks:
            sock.sendall(CHUNKED + self.chunks(900_000, 50_000)[:-5])
        refusals = []
        for sock in socks:
            sock.settimeout(2)
            try:
                refusals.append(self.read_response(sock.makefile("rb")))
            except TimeoutError:
                continue
        self.assertNotEqual([], refusals)
        for refusal in refusals:
            self.assertIn(b" 503 ", refusal[:16])
            self.assertIn(b"Retry-After: 1\r\n", refusal)
        self.assertEqual([], self.app.sizes)
        self.assertIn(b"200 OK", self.exchange(ORDINARY))

    def test_complete_requests_without_a_thread(self):
        """Guards against memory of requests that wait for a thread."""
        waiting = HEAD.replace(b"/x", b"/wait")
        waiting += b"Content-Length: 900000\r\n\r\n" + b"x" * 900_000
        socks = [self.connect() for _ in range(12)]
        for sock in socks:
            sock.sendall(waiting)
        end_s = time.monotonic() + WAIT_S
        while "request-memory" not in self.limits:
            self.assertTrue(time.monotonic() < end_s, "nothing is refused")
            time.sleep(0.01)
        self.app.release.set()
        statuses = [
            self.read_response(sock.makefile("rb"))[9:12] for sock in socks
        ]
        self.assertEqual({b"200", b"503"}, set(statuses))
        self.assertEqual(statuses.count(b"200"), len(self.app.sizes))

    def test_running_requests(self):
        """Guards against memory of requests that a thread has picked up."""
        body = b"Content-Length: 900000\r\n\r\n" + b"x" * 900_000
        running = self.connect_and_send(HEAD.replace(b"/x", b"/wait") + body)
        end_s = time.monotonic() + WAIT_S
        while not self.app.waiting:
            self.assertTrue(time.monotonic() < end_s, "it does not run")
            time.sleep(0.01)
        self.assertGreater(self.budget.held_bytes, 900_000)
        self.assertIn(b" 503 ", self.exchange(HEAD + body)[:16])
        self.assertIn(b"200 OK", self.exchange(ORDINARY))
        self.app.release.set()
        self.assertIn(b"200 OK", self.read_response(running))
        while self.budget.held_bytes:
            self.assertTrue(time.monotonic() < end_s, "it stays counted")
            time.sleep(0.01)
        self.assertIn(b"200 OK", self.exchange(HEAD + body))


class UrgentDataTest(BoundedServerCase):
    """Guards against input that the server never reads."""

    def test_connection_with_urgent_data_is_closed(self):
        """Guards against polling without a pause while it is open."""
        sock = self.connect()
        sock.send(b"x", socket.MSG_OOB)
        try:
            self.assertEqual(b"", sock.recv(1))
        except ConnectionResetError:
            pass
        self.assertIn(b"200 OK", self.exchange(ORDINARY))


class GoneClientsTest(BoundedServerCase):
    """Guards against a budget that fills up with clients that are gone."""

    def test_nothing_stays_counted(self):
        """Guards against bytes of closed connections that stay counted."""
        expect = HEAD + b"Expect: 100-continue\r\n"
        for number in range(40):
            sock = self.connect()
            sock.sendall(
                expect + b"Content-Length: 9000\r\n\r\n" + b"x" * number
            )
            sock.sendall(b"x" * 500)
            self.connect().sendall(ORDINARY * number + HEAD)
            sock.close()
        for sock in self.socks:
            sock.close()
        end_s = time.monotonic() + WAIT_S
        while self.budget.held_bytes:
            self.assertTrue(time.monotonic() < end_s, "bytes are counted")
            time.sleep(0.01)


class ConnectionsTest(BoundedServerCase):
    """Guards against connections that keep others from being accepted."""

    CONNECTIONS = 20

    def test_longest_waiting_connections_are_closed(self):
        """Guards against closing those that have a request running."""
        busy = self.connect()
        busy.sendall(ORDINARY.replace(b"/x", b"/wait"))
        idle = [self.connect() for _ in range(15)]
        idle[0].sendall(HEAD)
        time.sleep(0.1)
        for _ in range(40):
            self.assertIn(b"200 OK", self.exchange(ORDINARY))
        for sock in idle:
            self.assertEqual(b"", sock.recv(1))
        self.app.release.set()
        self.assertIn(b"200 OK", self.read_response(busy.makefile("rb")))
        self.assertIn("connections", self.limits)
