"""Compares requests through one entry process with direct requests.

Callers are closed loops on persistent connections. With a rate, each caller
sends at fixed intervals instead, and latency is measured from the scheduled
time of sending.
"""

import json
import multiprocessing
import os
import socket
import statistics
import subprocess
import sys
import threading
import time

import attrs
import defopt

from rosemarynotch._internal.callers.server import CallerServer
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.entries import document
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import KEY
from tests.lib.fleet import start_process

CALLER_PROCESSES = 3
REQUEST = (
    "GET {path}?work_ms={work_ms} HTTP/1.1\r\nHost: measured\r\n"
    "Authorization: Bearer {key}\r\nAccept: */*\r\n"
    "User-Agent: measure\r\nX-Request-Id: 1234567890\r\n\r\n"
)
THREADS = 128


def call_once(connection, request):
    """Send a request and read the answer; return its status."""
    connection.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            raise ConnectionError(
                "connection closed before the end of the headers"
            )
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lower = head.lower()
    length = int(lower.partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(body) < length:
        body += connection.recv(65536)
    return int(head[9:12])


def run_caller(address, request, start_s, end_s, interval_s, results):
    """Send requests until the end and add status and latency of each."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    due_s = start_s
    with connection:
        while due_s < end_s:
            now_s = time.monotonic()
            if interval_s and now_s < due_s:
                time.sleep(due_s - now_s)
            elif not interval_s:
                due_s = now_s
            status = call_once(connection, request)
            results.append((status, time.monotonic() - due_s))
            due_s = due_s + interval_s if interval_s else time.monotonic()


def caller_process(plans, queue):
    """Run some callers in threads and report their results."""
    results = []
    threads = [
        threading.Thread(target=run_caller, args=(*plan, results))
        for plan in plans
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    queue.put(results)


def measure(addresses, path, callers, seconds, work_ms, rate, key):
    """Return requests per second and latency quantiles of some callers."""
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    request = REQUEST.format(path=path, work_ms=work_ms, key=key).encode()
    start_s = time.monotonic() + 1.0
    interval_s = callers / rate if rate else 0.0
    plans = [
        (
            addresses[number % len(addresses)],
            request,
            start_s + interval_s * number / callers,
            start_s + seconds,
            interval_s,
        )
        for number in range(callers)
    ]
    parts = [plans[n::CALLER_PROCESSES] for n in range(CALLER_PROCESSES)]
    processes = [
        context.Process(target=caller_process, args=(part, queue))
        for part in parts
        if part
    ]
    for process in processes:
        process.start()
    results = [row for _ in processes for row in queue.get()]
    for process in processes:
        process.join()
    times_ms = sorted(latency * 1000 for _, latency in results)
    failed_count = sum(1 for status, _ in results if status != 200)
    return {
        "callers": callers,
        "per_s": round(len(results) / seconds),
        "median_ms": round(statistics.median(times_ms), 3),
        "p99_ms": round(times_ms[int(len(times_ms) * 0.99)], 3),
        "not_200": failed_count,
    }


@attrs.frozen(kw_only=True)
class Plan:
    """Parameters of the measurements.

    :ivar callers: numbers of callers, in the order of the measurements
    :ivar real: whether to use real permits and metrics instead of fakes
    """

    callers: tuple[int, ...]
    seconds: float
    work_ms: float
    slots: int
    real: bool
    seed: int
    profile_file: str


def real_components():
    """Return real permits, on a store in this process, and metrics."""
    process = start_process(SystemClock(), document())
    process.guard.start()
    process.permits.start()
    return {"permits": process.permits, "metrics": Metrics()}


def run_entry(addresses, plan, cpu, connection):
    """Run an entry until a message other than ``cpu`` arrives.

    The message ``cpu`` is answered with the CPU time used so far.
    """
    if cpu is not None:
        os.sched_setaffinity(0, {cpu})
    if plan.profile_file:
        from tests.bench.sampling import Sampler

        sampler = Sampler()
        sampler.start()
    parts = real_components() if plan.real else {}
    entry = EntryUnderTest(
        addresses, slots=plan.slots, seed=plan.seed, **parts
    )
    entry.dispatcher.start()
    server = CallerServer(entry.app, "127.0.0.1", 0, THREADS)
    server.start()
    connection.send((server.address, KEY))
    while True:
        message = connection.recv()
        if message == "cpu":
            connection.send(sum(os.times()[:2]))
        else:
            break
    if plan.profile_file:
        with open(plan.profile_file, "w") as report:
            report.write(sampler.report())
    os._exit(0)


def start_targets(count):
    """Start target processes and return them with their addresses."""
    processes, addresses = [], []
    for _ in range(count):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        command = [sys.executable, "-m", "standins.target"]
        command += [f"--listen={address}", "--slots=64"]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        process.stdout.readline()
        processes.append(process)
        addresses.append(address)
    return processes, addresses


def measure_entry(addresses, cpu, plan):
    """Print measurements of one entry and of direct requests."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    entry = context.Process(
        target=run_entry, args=(addresses, plan, cpu, child_end)
    )
    entry.start()
    address, key = parent_end.recv()
    name = "entry" if cpu is None else f"entry on processor {cpu}"
    variants = (("direct", addresses, "/x"), (name, [address], "/s/quotes/x"))

    def entry_cpu_s():
        parent_end.send("cpu")
        return parent_end.recv()

    def compare(title, callers, rate):
        for variant, called, path in variants:
            before_s = entry_cpu_s()
            row = measure(
                called, path, callers, plan.seconds, plan.work_ms, rate, key
            )
            used_s = entry_cpu_s() - before_s
            if variant == name:
                requests = row["per_s"] * plan.seconds
                row["entry_cpu_us"] = round(1_000_000 * used_s / requests)
            print(title, variant, json.dumps(row), flush=True)
        return row["per_s"]

    try:
        best = {n: compare("full", n, 0) for n in plan.callers}
        for callers in plan.callers:
            if callers > 1:
                compare("half", callers, best[callers] / 2)
    finally:
        parent_end.send("stop")
        entry.join()


def main(
    *,
    targets: int = 5,
    seconds: float = 4.0,
    work_ms: float = 0.0,
    profile_file: str = "",
    cpu: int = -1,
    callers: str = "1,8,64",
    slots: int = 8,
    real: bool = False,
    seed: int = 1,
) -> None:
    """Print one line of JSON per measurement.

    :param targets: number of target processes
    :param seconds: duration of each measurement
    :param work_ms: time for which a target works on a request
    :param profile_file: file to which the entry writes stack samples
    :param cpu: also measure an entry that is bound to this processor, -1
        for none
    :param callers: numbers of callers, separated by commas
    :param slots: largest number of requests that the entry sends to a target
        at once
    :param real: give the entry real permits, on a store in its process, and
        real metrics instead of fakes
    :param seed: seed for the choice of targets
    """
    plan = Plan(
        callers=tuple(int(number) for number in callers.split(",")),
        seconds=seconds,
        work_ms=work_ms,
        slots=slots,
        real=real,
        seed=seed,
        profile_file=profile_file,
    )
    processes, addresses = start_targets(targets)
    try:
        for bound in (None,) if cpu < 0 else (None, cpu):
            measure_entry(addresses, bound, plan)
    finally:
        for process in processes:
            process.terminate()
            process.wait()


if __name__ == "__main__":
    defopt.run(main)
