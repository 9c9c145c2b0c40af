"""Memory of a process as the machine of a node counts it."""

import os
from pathlib import Path
import threading

import attrs

__all__ = ["MemoryPeak", "MemorySampler"]

MEGABYTE = 1024 * 1024
SAMPLE_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 10.0
LISTEN = "0A"
TABLES = ("/proc/net/tcp", "/proc/net/udp")
SOCKET_PREFIX = "socket:["


@attrs.frozen(kw_only=True)
class MemoryPeak:
    """Largest values that were seen of a process.

    :ivar resident_mb: memory of the process alone
    :ivar unread_mb: bytes that its sockets have received and it has not read
    :ivar total_mb: sum of the two, at the same moment
    :ivar descriptors: open descriptors
    """

    resident_mb: float = 0.0
    unread_mb: float = 0.0
    total_mb: float = 0.0
    descriptors: int = 0


class MemorySampler:
    """Reads the memory of a process in a thread until it is stopped.

    Received bytes that were not read count as memory of the machine. Those of
    connections that were not accepted yet belong to no process, so sockets
    are also found by the ports on which the process listens.

    :param ports: TCP and UDP ports on which the process listens
    """

    def __init__(self, pid: int, ports: list[int]) -> None:
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self._peak = MemoryPeak()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> MemoryPeak:
        """End the thread and return the largest values."""
        self._stop.set()
        self._thread.join(STOP_TIMEOUT_S)
        return self._peak

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_INTERVAL_S):
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError):
                return

    def _sample(self) -> None:
        fields = _status(self._pid)
        inodes = _socket_inodes(self._pid)
        unread_mb = self._unread_bytes(inodes) / MEGABYTE
        peak = self._peak
        self._peak = MemoryPeak(
            resident_mb=max(peak.resident_mb, fields["VmHWM"]),
            unread_mb=max(peak.unread_mb, unread_mb),
            total_mb=max(
                peak.total_mb, fields["VmHWM"], fields["VmRSS"] + unread_mb
            ),
            descriptors=max(peak.descriptors, fields["descriptors"]),
        )

    def _unread_bytes(self, inodes: set[str]) -> int:
        total = 0
        for table in TABLES:
            text = Path(table).read_text(encoding="ascii")
            for line in text.splitlines()[1:]:
                fields = line.split()
                port = fields[1].rpartition(":")[2]
                is_own = port in self._ports or fields[9] in inodes
                # The queue of a listening socket counts connections.
                if is_own and not (table == TABLES[0] and fields[3] == LISTEN):
                    total += int(fields[4].rpartition(":")[2], 16)
        return total


def _status(pid: int) -> dict[str, float]:
    """Return resident memory in MB and the number of descriptors."""
    found = {}
    text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            found[name] = int(value.split()[0]) / 1024
    if "VmRSS" not in found:
        raise ProcessLookupError(f"process {pid} has ended")
    found["descriptors"] = len(os.listdir(f"/proc/{pid}/fd"))
    return found


def _socket_inodes(pid: int) -> set[str]:
    """Return the inodes of the sockets of a process."""
    inodes = set()
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(path)
        except FileNotFoundError:
            # Closed meanwhile.
            continue
        if target.startswith(SOCKET_PREFIX):
            inodes.add(target[len(SOCKET_PREFIX) : -1])
    return inodes
