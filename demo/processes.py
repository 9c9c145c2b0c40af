"""Starts and stops processes and calls the stand-ins."""

import contextlib
import http.client
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import time

import msgspec

__all__ = [
    "call",
    "free_ports",
    "Ports",
    "Processes",
    "StartFailed",
    "module",
    "program",
    "run_program",
]

ROOT = Path(__file__).parent.parent
PROGRAMS = Path(sys.executable).parent
FIRST_PORT = 12_000
PORTS_PER_TEST_PROCESS = 2_500
MAX_TEST_PROCESSES = 8
# The default of the Makefile.
TEST_PROCESSES = 4
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 5.0


class StartFailed(Exception):
    """A process did not start, or there is no free port."""


class Ports:
    """Hands out the ports of a range in random order, each once."""

    def __init__(self, numbers: range) -> None:
        self._remaining = iter(random.sample(numbers, len(numbers)))

    def take_free(self) -> int:
        """Return the next port on which nothing listens.

        :raises StartFailed: if no port is free
        """
        for port in self._remaining:
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                return port
        raise StartFailed(
            "every port of the range is in use or was handed out"
        )


def _own_ports() -> range:
    """Return ports that no other process of a parallel test run uses.

    Programs that run beside the tests, such as the soak, take other ports
    than the default number of test processes.
    """
    name = os.environ.get("PYTEST_XDIST_WORKER")
    if name is None:
        free = MAX_TEST_PROCESSES - TEST_PROCESSES
        number = TEST_PROCESSES + os.getpid() % free
    else:
        number = int(name.removeprefix("gw")) % MAX_TEST_PROCESSES
    first = FIRST_PORT + number * PORTS_PER_TEST_PROCESS
    return range(first, first + PORTS_PER_TEST_PROCESS)


_ports = Ports(_own_ports())


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address on which nothing listens.

    They are below the range from which the system takes ports for outgoing
    connections, since such a connection could occupy a port before its server
    starts. Each port is returned only once, since the server that it is meant
    for may not listen yet when further ports are requested.
    """
    return [_ports.take_free() for _ in range(count)]


def call(address: str, path: str, body: object = None):
    """Call a stand-in and return its decoded JSON answer.

    :param body: sent as JSON in a POST request; None for a GET request
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        if body is None:
            connection.request("GET", path)
        else:
            connection.request("POST", path, msgspec.json.encode(body))
        return msgspec.json.decode(connection.getresponse().read())
    finally:
        connection.close()


def program(name: str) -> tuple[str, ...]:
    """Return the command that starts an installed program."""
    return (str(PROGRAMS / name),)


def module(name: str) -> tuple[str, ...]:
    """Return the command that runs a module."""
    return (sys.executable, "-m", name)


def run_program(name: str, *arguments: str, check: bool = True) -> str:
    """Run an installed program and return its standard output.

    :param check: whether a non-zero exit status raises an error
    """
    result = subprocess.run(
        [*program(name), *arguments],
        cwd=ROOT,
        env=_environment(),
        stdout=subprocess.PIPE,
        text=True,
        check=check,
    )
    return result.stdout


def _environment() -> dict[str, str]:
    paths = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return {**os.environ, "PYTHONPATH": paths}


class Processes:
    """The running processes of one environment, each with a log file."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, subprocess.Popen] = {}

    def start(
        self, name: str, command: tuple[str, ...], /, **flags: object
    ) -> None:
        """Start a program in the background.

        :param flags: settings of the program; True for a flag without a value
        """
        arguments = []
        for flag, value in flags.items():
            text = "--" + flag.replace("_", "-")
            arguments.append(text if value is True else f"{text}={value}")
        with self.log(name).open("wb") as log:
            self._running[name] = subprocess.Popen(
                [*command, *arguments],
                cwd=ROOT,
                env=_environment(),
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def ids(self) -> dict[str, int]:
        """Return the process ids by name."""
        return {name: each.pid for name, each in self._running.items()}

    def log(self, name: str) -> Path:
        """Return the log file of a process."""
        return self._directory / f"{name}.log"

    def wait_for_port(self, name: str, port: int) -> None:
        """Wait until a process accepts connections.

        :raises StartFailed: if it ends or takes too long
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._running[name].poll() is not None:
                break
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return
            time.sleep(POLL_INTERVAL_S)
        tail = self.log(name).read_text()[-2000:]
        raise StartFailed(f"{name} did not start:\n{tail}")

    def stop(self, prefix: str = "") -> dict[str, int]:
        """Send SIGTERM to processes and return their exit statuses by name.

        A process that does not end in time is killed; its status is then
        negative.

        :param prefix: start of the names of the processes to stop
        """
        chosen = {
            name: process
            for name, process in self._running.items()
            if name.startswith(prefix)
        }
        for process in chosen.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        for name, process in chosen.items():
            try:
                process.wait(max(0.0, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            del self._running[name]
        return {name: each.returncode for name, each in chosen.items()}
