"""HTTP request handler of the target stand-ins."""

from http.server import BaseHTTPRequestHandler
import time
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import msgspec

from standins.target_state import Fault
from standins.target_state import FaultKind
from standins.target_state import Request

__all__ = ["Handler"]

ADMIN_PATHS = ("/admin/", "/ledger", "/stats")
WORK_SLICE_S = 0.05


class Handler(BaseHTTPRequestHandler):
    """Serves one connection to a target."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        self.target = self.server.target
        super().setup()

    def log_message(self, *_):
        """Write no access log; the ledger records the requests that ran."""

    def run_request(self):
        """Read a request and handle it according to path and fault."""
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length)
        if self.path.startswith(ADMIN_PATHS):
            self._admin()
        elif self.target.is_silent(self.connection):
            self._keep_silent()
        else:
            self._run_work()

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = run_request

    def _run_work(self):
        target = self.target
        if target.draining:
            self._send_refusal("draining")
            return
        if target.is_over_limit(self.connection):
            self._send_refusal("connections")
            return
        fault = target.take_fault()
        if fault.kind is FaultKind.FAIL:
            self._send(500, b"failed", [])
            return
        request, setting = self._parse()
        slots, generation = target.slots, target.generation
        slots.acquire()
        try:
            finished = target.generation == generation
            if finished:
                finished = self._work(request, generation, setting)
        finally:
            slots.release()
        if finished:
            self._answer(request, setting, fault)
        else:
            self.close_connection = True

    def _parse(self):
        """Return the request and a function that looks up its settings.

        A query parameter takes precedence over the header of the same
        setting: ``?work_ms=`` over ``X-Work-Ms``.
        """
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))

        def setting(name, default=""):
            return query.get(
                name, self.headers.get(f"X-{name.replace('_', '-')}", default)
            )

        team = self.headers.get("Rosemarynotch-Team", "")
        request = Request(
            request_id=setting("request_id"),
            team=team or setting("team"),
            idempotency_key=self.headers.get("Idempotency-Key", ""),
            method=self.command,
            path=url.path,
            address=self.target.address,
            start_s=0.0,
        )
        return request, setting

    def _work(self, request, generation, setting):
        """Work for the requested time; return False if interrupted."""
        ledger = self.target.process.ledger
        ledger.start(request)
        end_s = request.start_s + float(setting("work_ms", "0")) / 1000
        while self.target.generation == generation:
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                break
            time.sleep(min(remaining_s, WORK_SLICE_S))
        interrupted = self.target.generation != generation
        ledger.end(request, interrupted)
        return not interrupted

    def _answer(self, request, setting, fault):
        if self.target.is_silent(self.connection):
            self._keep_silent()
            return
        if fault.kind is FaultKind.LATE:
            time.sleep(fault.late_ms / 1000)
        if fault.kind is FaultKind.CLOSE:
            self.close_connection = True
            return
        status = int(setting("status", "200"))
        request.status = status
        size = int(setting("answer_bytes", "0"))
        body = request.request_id.encode() + b"\n"
        body += b"." * (size - len(body))
        headers = [("X-Request-Id", request.request_id)]
        is_truncated = fault.kind is FaultKind.TRUNCATE
        self._send(
            status, body, headers, len(body) // 2 if is_truncated else None
        )
        request.answered = not is_truncated

    def _send_refusal(self, reason):
        self.target.process.ledger.refuse(reason)
        headers = [("Rosemarynotch-Not-Run", "1"), ("Connection", "close")]
        self.close_connection = True
        self._send(503, reason.encode(), headers)

    def _keep_silent(self):
        """Send nothing and keep the connection open until the peer closes."""
        self.close_connection = True
        try:
            while self.connection.recv(1 << 16):
                pass
        except OSError:
            pass

    def _send(self, status, body, headers, cut_at=None):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body if cut_at is None else body[:cut_at])
        if cut_at is not None:
            self.close_connection = True

    def _admin(self):
        """Run an admin call, by default on the target that is called."""
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        process = self.target.process
        address = query.get("address", "")
        target = process.targets.get(address or self.target.address)
        if target is None:
            self._send(404, b"{}", [])
            return
        answer = {}
        call = url.path.rpartition("/")[2]
        if call == "ledger":
            answer = process.ledger.show(address)
        elif call == "stats":
            answer = [each.show() for each in process.targets.values()]
        elif call == "clear":
            process.ledger.clear()
        elif call in ("drain", "undrain"):
            target.draining = call == "drain"
        elif call == "fault":
            target.set_fault(msgspec.json.decode(self.body, type=Fault))
        elif call == "up":
            target.bring_up()
        elif call not in ("reboot", "down"):
            self._send(404, b"{}", [])
            return
        self._send(200, msgspec.json.encode(answer), [])
        self.wfile.flush()
        if call == "reboot":
            target.reboot(float(query.get("down_ms", "0")))
        elif call == "down":
            target.take_down()
