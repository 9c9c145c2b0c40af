"""Tests of the limits of a node that follow from its settings."""

import pytest
import yaml

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.platform import load_settings
from rosemarynotch._internal.wiring.limits import caller_connections


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
