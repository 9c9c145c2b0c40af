"""Settings of a node, from the file that the platform provides."""

import os

import attrs
import yaml

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.addresses import split_address
from rosemarynotch._internal.utils.request_budget import DEFAULT_MEMORY_MB

__all__ = ["NodeSettings", "SETTINGS_VARIABLE", "load_settings"]

SETTINGS_VARIABLE = "ROSEMARYNOTCH_CONFIG"
# The fewest descriptors of a machine on which nodes run.
DEFAULT_MAX_DESCRIPTORS = 4100


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of a node.

    :ivar callers_address: listen address for callers, HOST:PORT
    :ivar probe_address: listen address for readiness probes, HOST:PORT
    :ivar cores: processor time available to the node, in cores
    :ivar memory_mb: memory of the machine; bounds requests and connections
    :ivar max_descriptors: open descriptors that the process may have
    :ivar metrics_port: first of the internal ports, which are free on every
        node; metrics are served (TCP) and hints received (UDP) on it
    :ivar is_first_start: whether the whole system starts for the first time
    :ivar max_lease_ms: longest lease that a worker grants
    :ivar ack_timeout_ms: longest time that a caller waits for the answer to
        a cancellation
    :ivar stop_timeout_ms: longest time that a worker takes to stop a run
    :ivar grace_s: time between SIGTERM and SIGKILL
    :ivar remote_factor: slowdown of tasks that do not run near their data
    :ivar move_s: time that a VM takes to move to another pool
    :ivar maintenance_s: time that the maintenance of a VM takes
    :ivar holder_interval_ms: minimum time between orders of two successive
        leaders for the same VM
    :ivar withdrawal_ms: longest time for which a withdrawn key may be used
    :ivar evacuation_ms: time after a request to evacuate a data centre from
        which no task may start there; None if there are no such requests
    """

    node: str
    ip: str
    data_centre: str
    callers_address: str
    probe_address: str
    cores: float
    memory_mb: float
    max_descriptors: int
    metrics_port: int
    store_address: str
    vm_service_address: str
    advisor_address: str
    is_first_start: bool
    max_lease_ms: int
    ack_timeout_ms: int
    stop_timeout_ms: int
    gang_timeout_ms: int
    grace_s: float
    remote_factor: float
    move_s: float
    maintenance_s: float
    holder_interval_ms: int
    withdrawal_ms: int
    evacuation_ms: int | None


def load_settings(path: str | None = None) -> NodeSettings:
    """Read the settings file.

    :param path: path of the file; if not given, it is taken from the
        environment variable ``ROSEMARYNOTCH_CONFIG``
    :raises SettingsError: with all missing and malformed settings
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as stream:
            fields = yaml.load(stream, Loader=yaml.CSafeLoader)
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(fields, dict):
        raise SettingsError(f"{path}: top level is not a mapping")
    reader = _SettingsReader(fields)
    values = {
        "node": reader.read(str, "node"),
        "ip": reader.read(str, "ip"),
        "data_centre": reader.read(str, "zone"),
        "callers_address": reader.read_address("listen-addrs", "frontend"),
        "probe_address": reader.read_address("listen-addrs", "ready"),
        "cores": reader.read(float, "limits", "cpu-share", default=1.0)
        * reader.read(float, "limits", "cores", default=1.0),
        "memory_mb": reader.read(
            float, "limits", "memory-mb", default=DEFAULT_MEMORY_MB
        ),
        "max_descriptors": reader.read(
            int, "limits", "max-fds", default=DEFAULT_MAX_DESCRIPTORS
        ),
        "metrics_port": reader.read(int, "internal-port-range", 0),
        "store_address": reader.read_address("platform", "address"),
        "vm_service_address": reader.read_address(
            "cloud-api", "address", default=""
        ),
        "advisor_address": reader.read_address("advisor", default=""),
        "is_first_start": reader.read(bool, "bootstrap", default=False),
        "max_lease_ms": reader.read_bound(int, "max-hold-ms", 10_000),
        "ack_timeout_ms": reader.read_bound(int, "ack-timeout-ms", 4_000),
        "stop_timeout_ms": reader.read_bound(int, "stop-timeout-ms", 200),
        "gang_timeout_ms": reader.read_bound(int, "gang-timeout-ms", 3_000),
        "grace_s": reader.read_bound(float, "grace-s", 6.0),
        "remote_factor": reader.read_bound(float, "remote-factor", 1.0),
        "move_s": reader.read_bound(float, "migrate-s", 1.5),
        "maintenance_s": reader.read_bound(float, "maintenance-s", 2.0),
        "holder_interval_ms": reader.read_bound(int, "lease-ms", 3_000),
        "withdrawal_ms": reader.read_bound(int, "revoke-ms", 3_000),
        "evacuation_ms": reader.read_bound(int, "evacuate-ms", None),
    }
    if reader.problems:
        raise SettingsError(f"{path}: " + "; ".join(reader.problems))
    return NodeSettings(**values)


_REQUIRED = object()


class _SettingsReader:
    """Reads settings and collects the problems found."""

    def __init__(self, fields: dict) -> None:
        self._fields = fields
        self.problems: list[str] = []

    def read(self, kind: type, *path, default=_REQUIRED):
        """Return a setting converted to a type, or its default."""
        value = self._fields
        for part in path:
            try:
                value = value[part]
            except (KeyError, IndexError, TypeError):
                value = None
            if value is None:
                break
        name = ".".join(str(part) for part in path)
        if value is None:
            if default is _REQUIRED:
                self.problems.append(f"{name} is missing")
                return None
            return default
        try:
            return kind(value)
        except (TypeError, ValueError):
            self.problems.append(
                f"{name}: {value!r} is not a valid {kind.__name__}"
            )
            return None

    def read_bound(self, kind: type, name: str, default):
        """Return a setting of the section ``bounds``."""
        return self.read(kind, "bounds", name, default=default)

    def read_address(self, *path, default=_REQUIRED) -> str:
        """Return an address of the form HOST:PORT."""
        value = self.read(str, *path, default=default)
        if value:
            try:
                split_address(value)
            except ValueError as error:
                self.problems.append(f"{'.'.join(path)}: {error}")
        return value
