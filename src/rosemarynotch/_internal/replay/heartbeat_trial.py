"""Measures the CPU time and network bytes of heartbeats in one process.

The measured exchange, of an entry or of the leading control process, runs in
this process. Its peers run the same code in other processes, and each is
connected only to the measured member. The peers of an entry are the other
entries and the leading control process. Bytes are the kernel's counts for
the TCP connections of this process plus 66 bytes of headers per segment.
"""

import hashlib
import multiprocessing
import os
import random
import socket
import stat
import struct
import sys
import time

import attrs

from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.peers import Exchange
from rosemarynotch._internal.peers import Timing
from rosemarynotch._internal.utils.clock import SystemClock

__all__ = ["main"]

HEADERS_BYTES = 66
# Offsets in struct tcp_info of bytes acknowledged and received (64 bits)
# and of segments sent and received (32 bits).
TCP_INFO_BYTES = 144
TCP_COUNTS_OFFSET = 120
TCP_COUNTS = struct.Struct("=QQII")
RUN_PERIODS = 8
STEPS = (-2, -1, 0, 1, 2)
MEMBERS_PER_CHILD = 20
CONTROL = "control"
WARM_UP_S = 3.0


class _NullMetrics:
    def count(self, name, amount=1, **labels) -> None:
        pass


@attrs.define
class _HeartbeatGenerator:
    """Generates heartbeats whose demand rows change slightly each time.

    All teams are always active, which is the largest possible load. A
    control process has no rows.
    """

    name: str
    teams_count: int
    rng: random.Random
    sequence: int = 0
    queued: list[int] = attrs.field(factory=list)

    def heartbeat(self) -> Heartbeat:
        self.sequence += 1
        if not self.queued:
            self.queued = [
                self.rng.randrange(20) for _ in range(self.teams_count)
            ]
        self.queued = [
            max(0, queued + self.rng.choice(STEPS)) for queued in self.queued
        ]
        return Heartbeat(
            sender=self.name,
            incarnation=_incarnation(self.name),
            sequence=self.sequence,
            members_revision=101_234,
            config_version=12_345,
            fleet_revision=101_299,
            store_age_s=self.rng.random(),
            demand=tuple(
                DemandRow(
                    pool=f"pool-{number % 6}",
                    team=f"team-{number}",
                    queued_requests=self.queued[number],
                    running_requests=2,
                    served_worth=self.sequence * 12.5 + number,
                    slot_s=self.sequence * 2.75 + number,
                )
                for number in range(self.teams_count)
            ),
        )


def _incarnation(name: str) -> str:
    """Return the incarnation of a member, the same in all processes."""
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


def _member(name: str, address: str) -> Member:
    return Member(
        name=name,
        kind=MemberKind.CONTROL if name == CONTROL else MemberKind.ENTRY,
        incarnation=_incarnation(name),
        vm=name,
        vm_instance="1",
        data_centre="d",
        peer_address=address,
    )


def _make_exchange(name: str, teams_count: int, timing: Timing):
    view = MembersView()
    exchange = Exchange(
        _member(name, "127.0.0.1:0"),
        view,
        SystemClock(),
        _NullMetrics(),
        timing,
    )
    rows_count = 0 if name == CONTROL else teams_count
    generator = _HeartbeatGenerator(name, rows_count, random.Random(name))
    exchange.set_heartbeat_source(generator.heartbeat)
    if name == CONTROL:
        exchange.set_leading(True)
    return exchange, view


def _run_peers(pipe, measured_name, names, teams_count, period_s) -> None:
    """Run the exchanges of some peers in a process until told to stop.

    Sends their addresses through the pipe, receives the address of the
    measured member, and ends at the next message.
    """
    timing = Timing(period_s=period_s, per_participant_s=0.0)
    exchanges = [_make_exchange(name, teams_count, timing) for name in names]
    pipe.send([exchange.bind() for exchange, _ in exchanges])
    measured = _member(measured_name, pipe.recv())
    for name, (exchange, view) in zip(names, exchanges):
        member = _member(name, exchange.bind())
        record = MembersRecord(members={measured_name: measured, name: member})
        view.apply(record, 1)
        exchange.start()
        time.sleep(period_s / len(names))
    pipe.recv()
    os._exit(0)


def _tcp_bytes() -> int:
    """Return the bytes sent and received by TCP in this process."""
    total = 0
    for descriptor in os.listdir("/proc/self/fd"):
        try:
            if not stat.S_ISSOCK(os.fstat(int(descriptor)).st_mode):
                continue
        except OSError:
            # The descriptor that listed the directory is already closed.
            continue
        with socket.socket(fileno=os.dup(int(descriptor))) as copy:
            if copy.family != socket.AF_INET:
                continue
            info = copy.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            sent, received, *segments = TCP_COUNTS.unpack_from(
                info, TCP_COUNTS_OFFSET
            )
            total += sent + received + HEADERS_BYTES * sum(segments)
    return total


def measure(
    measured: str, entries_count: int, teams_count: int
) -> tuple[float, float]:
    """Measure one exchange; return its percentage of a core and its KB/s.

    :param measured: name of the measured member
    """
    timing = Timing()
    period_s = timing.period_for(entries_count)
    names = [f"entry-{number}" for number in range(entries_count)]
    names = [name for name in [*names, CONTROL] if name != measured]
    context = multiprocessing.get_context("spawn")
    pipes, addresses = [], []
    for start in range(0, len(names), MEMBERS_PER_CHILD):
        pipe, child_pipe = multiprocessing.Pipe()
        part = names[start : start + MEMBERS_PER_CHILD]
        context.Process(
            target=_run_peers,
            args=(child_pipe, measured, part, teams_count, period_s),
        ).start()
        pipes.append(pipe)
        addresses += pipe.recv()
    exchange, view = _make_exchange(measured, teams_count, timing)
    measured_member = _member(measured, exchange.bind())
    for pipe in pipes:
        pipe.send(measured_member.peer_address)
    peers = {
        name: _member(name, address) for name, address in zip(names, addresses)
    }
    view.apply(MembersRecord(members={**peers, measured: measured_member}), 1)
    exchange.start()
    time.sleep(WARM_UP_S + 2 * period_s)
    cpu_s, before, start_s = time.process_time(), _tcp_bytes(), time.time()
    time.sleep(RUN_PERIODS * period_s)
    run_s = time.time() - start_s
    result = (
        100 * (time.process_time() - cpu_s) / run_s,
        (_tcp_bytes() - before) / run_s / 1000,
    )
    assert len(exchange.connected()) == len(names)
    for pipe in pipes:
        pipe.send("stop")
    exchange.stop()
    return result


def main() -> None:
    """Print the cost for each number of entries in the arguments."""
    for entries_count in map(int, sys.argv[1:] or ["6", "24", "30"]):
        for teams_count in (6, 45):
            for measured in ("entry-0", CONTROL):
                cpu_percent, kb_s = measure(
                    measured, entries_count, teams_count
                )
                print(
                    f"{entries_count:3} entries, {teams_count:2} teams, "
                    f"{measured:7}: {cpu_percent:5.2f} % of a core, "
                    f"{kb_s:6.2f} KB/s",
                    flush=True,
                )


if __name__ == "__main__":
    main()
