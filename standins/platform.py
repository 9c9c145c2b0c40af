"""Stand-in for the platform: store, VM service and task service."""

import logging
from pathlib import Path
from urllib.parse import parse_qsl

import defopt
import msgspec

from standins.faults import AnswerLost
from standins.faults import Faults
from standins import kv
from standins.ledger import Ledger
from standins.platform_admin import AdminCalls
from standins.serving import PlatformServer
from standins.store_calls import StoreCalls
from standins.tasks import Task
from standins.tasks import Tasks
from standins.vms import Refused
from standins.vms import Unknown
from standins.vms import Vm
from standins.vms import Vms

__all__ = ["Platform", "main"]

STATUS_LINES = {
    200: "200 OK",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}


class Platform:
    """WSGI application of the platform stand-in.

    :ivar bytes_in: total size of the request bodies
    :ivar bytes_out: total size of the response bodies
    """

    def __init__(
        self,
        vms: list[Vm] | None = None,
        list_lag_ms: int = 0,
        reboot_ms: int = 200,
        usage_lag_ms: int = 0,
    ) -> None:
        self.faults = Faults()
        self.ledger = Ledger()
        self.store = kv.KeyValue()
        self.vms = Vms(self.ledger, list_lag_ms, reboot_ms)
        self.tasks = Tasks(self.vms, self.ledger, usage_lag_ms)
        for vm in vms or []:
            self.vms.add(vm)
        self.vms.show_now()
        self._store_calls = StoreCalls(self.store, self.faults)
        self._admin = AdminCalls(self)
        self.bytes_in = 0
        self.bytes_out = 0

    def __call__(self, environ, start_response):
        """Answer one request."""
        # WSGI passes the bytes of the path decoded as latin-1.
        full_path = environ["PATH_INFO"].encode("latin-1").decode()
        path = full_path.split("/")[1:]
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        body = environ["wsgi.input"].read()
        port = int(environ["SERVER_PORT"])
        status, headers, answer = self._answer(
            environ["REQUEST_METHOD"], path, query, body, port
        )
        self.bytes_in += len(body)
        self.bytes_out += len(answer)
        length = [("Content-Length", str(len(answer)))]
        start_response(STATUS_LINES[status], headers + length)
        return [answer]

    def _answer(self, method, path, query, body, port):
        try:
            if path[0] != "v1":
                return _json_response(
                    200, self._admin.run(method, path, query, body)
                )
            is_store = path[1] in ("kv", "watch", "leases")
            self.faults.before_call(port, is_store)
            if self.faults.is_down(port, is_store):
                return _json_response(503, {"error": "outage"})
            if is_store:
                return self._store_calls.run(method, path, query, body, port)
            return _json_response(
                200, self._run_service_call(method, path, query, body, port)
            )
        except AnswerLost:
            raise
        except Unknown as error:
            return _json_response(404, {"error": str(error)})
        except Refused as error:
            return _json_response(409, {"error": str(error)})
        except (KeyError, IndexError, ValueError) as error:
            return _json_response(400, {"error": repr(error)})

    def _run_service_call(self, method, path, query, body, port):
        """Run a call of the VM service or the task service."""
        if method == "GET":
            if path[1:] == ["vms"]:
                return self.vms.listed(self.faults.settings(port).vm_list)
            if path[1:] == ["tasks"]:
                return self.tasks.listed()
            raise Unknown("/".join(path))
        if path[1] == "vms":
            result = self._run_vm_operation(path[2], path[3], query)
        elif path[1] == "tasks" and method == "PUT":
            result = self._start_task(path[2], query, body)
        elif path[1] == "tasks":
            result = self._run_task_operation(path[2:], query, body)
        else:
            raise Unknown("/".join(path))
        self.faults.after_write(port, is_store=False)
        return result

    def _run_vm_operation(self, name, operation, query):
        if operation not in ("drain", "undrain", "reboot"):
            raise Unknown(operation)
        getattr(self.vms, operation)(name, query["operation"])
        return {}

    def _start_task(self, task_id, query, body):
        task = msgspec.json.decode(body, type=Task)
        task.task_id = task_id
        return {"started": self.tasks.start(task, float(query["lease_ms"]))}

    def _run_task_operation(self, path, query, body):
        if path == ["renew"]:
            task_ids = msgspec.json.decode(body, type=list[str])
            lease_ms = float(query["lease_ms"])
            return {"gone": self.tasks.renew(task_ids, lease_ms)}
        task_id, operation = path
        if operation == "renew":
            lease_ms = float(query["lease_ms"])
            return {"gone": self.tasks.renew([task_id], lease_ms)}
        if operation == "throttle":
            self.tasks.throttle(task_id, float(query["cores"]))
        elif operation == "checkpoint":
            self.tasks.checkpoint(task_id)
        elif operation == "stop":
            self.tasks.stop(task_id)
        else:
            raise Unknown(operation)
        return {}


def _json_response(status, value):
    headers = [("Content-Type", "application/json")]
    return status, headers, msgspec.json.encode(value)


def main(
    *,
    listen: str = "127.0.0.1:7600",
    fleet: str = "",
    list_lag_ms: int = 0,
    reboot_ms: int = 200,
    usage_lag_ms: int = 0,
    threads: int = 64,
) -> None:
    """Serve a stand-in of the platform for tests and the demonstration.

    :param listen: addresses to listen on, separated by commas
    :param fleet: JSON file with a list of VMs
    :param list_lag_ms: delay before changes show in the VM list
    :param reboot_ms: duration of a reboot
    :param usage_lag_ms: delay before the usage of a task is reported
    :param threads: calls served at the same time, waiting watches included
    """
    # waitress warns about the length of its task queue, which is
    # irrelevant for a stand-in.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    vms = []
    if fleet:
        vms = msgspec.json.decode(Path(fleet).read_bytes(), type=list[Vm])
    platform = Platform(vms, list_lag_ms, reboot_ms, usage_lag_ms)
    server = PlatformServer(platform, listen.split(","), threads)
    print(f"listening on {listen}", flush=True)
    server.run()


if __name__ == "__main__":
    defopt.run(main)
