"""Tests of the limits of a node that follow from its settings."""

import socket

import pytest
import yaml

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.platform import load_settings
from rosemarynotch._internal.utils.bounded_server import applied_buffer_bytes
from rosemarynotch._internal.utils.bounded_server import count_sockets
from rosemarynotch._internal.utils.graceful_server import GracefulServer
from rosemarynotch._internal.wiring.limits import caller_connections
from rosemarynotch._internal.wiring.limits import receive_buffer_bytes


@pytest.fixture
def load(tmp_path):
    """Return a function that reads settings with given limits."""

    def load_limits(**limits):
        fields = {
            "node": "n",
            "ip": "127.0.0.1",
            "zone": "z",
            "listen-addrs": {"frontend": "a:1", "ready": "a:2"},
            "internal-port-range": [7000, 7015],
            "platform": {"address": "a:3"},
            "limits": limits,
        }
        path = tmp_path / "settings.yaml"
        path.write_text(yaml.safe_dump(fields), encoding="utf-8")
        return load_settings(str(path))

    return load_limits


@pytest.mark.parametrize(
    ("max_fds", "memory_mb", "connections"),
    [(4100, 160, 1950), (8192, 552, 2000), (400, 160, 100), (4100, 60, 1024)],
)
def test_connections_follow_from_the_machine(
    load, max_fds, memory_mb, connections
):
    """Guards against more connections than descriptors or memory allow."""
    settings = load(**{"max-fds": max_fds, "memory-mb": memory_mb})
    assert caller_connections(settings) == connections


def test_defaults_are_those_of_the_smallest_machine(load):
    """Guards against limits that are too high where the settings lack them."""
    settings = load()
    assert (settings.max_descriptors, settings.memory_mb) == (4100, 160)


def test_malformed_limits_are_named(load):
    """Guards against an error that does not name the setting."""
    with pytest.raises(SettingsError, match="limits.max-fds: 'x'"):
        load(**{"max-fds": "x"})


@pytest.mark.parametrize("memory_mb", [32, 100, 160, 552])
def test_sockets_of_all_ports_share_a_part_of_the_memory(load, memory_mb):
    """Guards against ports whose sockets receive more than their part."""
    settings = load(**{"memory-mb": memory_mb})
    connections = (caller_connections(settings), 32, 32)
    size = receive_buffer_bytes(memory_mb, *connections)
    received = size * sum(map(count_sockets, connections))
    assert received <= 0.15 * memory_mb * 1024 * 1024
    # The kernel would not make a buffer smaller than this.
    assert size >= 2304


@pytest.mark.parametrize(
    ("memory_mb", "connections"),
    [(100, 40), (160, 160), (200, 240), (300, 624), (552, 1632)],
)
def test_connections_follow_from_buffers_of_a_fixed_size(
    load, memory_mb, connections
):
    """Guards against a kernel that does not apply the size of a buffer."""
    settings = load(**{"memory-mb": memory_mb})
    found = caller_connections(settings, lambda size: 65_536)
    assert found == connections
    received = 65_536 * sum(map(count_sockets, (found, 32, 32)))
    assert received <= 0.25 * memory_mb * 1024 * 1024


def test_this_kernel_applies_the_size_of_a_buffer():
    """Guards against connections that are bounded without need."""
    assert applied_buffer_bytes(10_000) <= 10_000


def test_connections_inherit_the_receive_buffer():
    """Guards against buffers that grow with what a client sends."""

    def app(environ, start_response):
        raise AssertionError("no request is sent")

    server = GracefulServer(
        app, "127.0.0.1", 0, 1, receive_buffer_bytes=10_000
    )
    host, _, port = server.address.partition(":")
    sent = 0
    # The server is not started, so nothing is read.
    with socket.create_connection((host, int(port))) as sock:
        sock.settimeout(0.2)
        try:
            while sent < 100_000_000:
                sent += sock.send(bytes(65536))
        except TimeoutError:
            pass
        accepted, _ = server._server.accept()
        with accepted:
            accepted.settimeout(1.0)
            unread = len(accepted.recv(100_000_000, socket.MSG_PEEK))
    server._server.close()
    assert 0 < unread <= 10_000
