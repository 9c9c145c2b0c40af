"""HTTP interface of the store stand-in."""

import msgspec

from standins.faults import Faults
from standins import kv
from standins.vms import Unknown

__all__ = ["StoreCalls"]

MAX_VALUE_BYTES = 1 << 20


class StoreCalls:
    """Maps HTTP calls to calls of the key-value service."""

    def __init__(self, store: kv.KeyValue, faults: Faults) -> None:
        self._store = store
        self._faults = faults

    def run(self, method, path, query, body, port):
        """Run one call and return status, headers and body.

        :param path: segments of the path, from ``v1`` on
        """
        try:
            if path[1] == "leases":
                return self._lease(method, path[2:], query, port)
            key = "/".join(path[2:])
            if path[1] == "watch":
                return self._watch(key, query, port)
            if method == "GET":
                return self._read(key, query)
            if method == "PUT":
                return self._put(key, query, body, port)
            if method == "DELETE":
                return self._delete(key, query, port)
        except kv.Conflict as error:
            return _error_response(409, str(error))
        except kv.LeaseMissing as error:
            return _error_response(410, str(error))
        raise Unknown(method)

    def _read(self, key, query):
        if not key:
            found = self._store.keys(query.get("prefix", ""))
            rows = [{"key": key, "revision": at} for key, at in found]
            return 200, [], msgspec.json.encode(rows)
        return _entry_response(self._store.get(key), 404)

    def _watch(self, key, query, port):
        after = int(query["after"])
        entry = self._store.watch(key, after, int(query["wait_ms"]) / 1000)
        if self._faults.is_down(port, is_store=True):
            return _error_response(503, "outage")
        return _entry_response(entry, 304)

    def _put(self, key, query, body, port):
        if len(body) > MAX_VALUE_BYTES:
            return _error_response(413, f"{key}: {len(body)} bytes")
        expected = int(query["expected"])
        lease = query.get("lease", "")
        revision = self._store.put(key, body, expected, lease)
        self._faults.after_write(port, is_store=True)
        return 200, [("Revision", str(revision))], b""

    def _delete(self, key, query, port):
        if not self._store.delete(key, int(query["expected"])):
            return _error_response(404, key)
        self._faults.after_write(port, is_store=True)
        return 200, [], b""

    def _lease(self, method, path, query, port):
        if method == "POST" and not path:
            lease = self._store.grant_lease(float(query["ttl_ms"]) / 1000)
            self._faults.after_write(port, is_store=True)
            return 200, [], msgspec.json.encode({"lease": lease})
        if method == "PUT" and path:
            self._store.renew_lease(path[0])
            self._faults.after_write(port, is_store=True)
            return 200, [], b"{}"
        raise Unknown("lease")


def _entry_response(entry, missing_status):
    if entry is None:
        return missing_status, [], b""
    return 200, [("Revision", str(entry.revision))], entry.value


def _error_response(status, reason):
    return status, [], msgspec.json.encode({"error": reason})
