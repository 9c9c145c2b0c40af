"""Validation of network addresses of the form HOST:PORT."""

import ipaddress
import re

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["parse_address", "split_address"]

MAX_PORT = 65_535
MAX_HOST_CHARS = 253
# A label of a host name. The last one must not be a number, so that an
# incomplete or out-of-range IPv4 address does not count as a name.
LABEL_PATTERN = re.compile(r"(?!-)[A-Za-z0-9-]{1,63}(?<!-)")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def split_address(value: str, min_port: int = 1) -> tuple[str, int]:
    """Split and validate an address.

    The host is an IPv4 address, an IPv6 address in brackets, or a host name.
    Without this check the resolver would raise other errors for some names,
    and take a port that is out of range for another one.

    :param min_port: 0 for an address to listen on, where 0 stands for any
    :returns: host, without brackets, and port
    :raises ValueError: if the value is not an address
    """
    host, separator, port = value.rpartition(":")
    if not separator or not PORT_PATTERN.fullmatch(port):
        raise ValueError(f"{value!r} is not HOST:PORT")
    if not min_port <= int(port) <= MAX_PORT:
        raise ValueError(
            f"{value!r}: port is not between {min_port} and {MAX_PORT}"
        )
    if not _is_host(host):
        raise ValueError(f"{value!r} has no valid host")
    return host.strip("[]"), int(port)


def _is_host(host: str) -> bool:
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
        return True
    except ValueError:
        return _is_host_name(host)


def _is_host_name(host: str) -> bool:
    labels = host.removesuffix(".").split(".")
    return (
        len(host) <= MAX_HOST_CHARS
        and all(LABEL_PATTERN.fullmatch(label) for label in labels)
        and not labels[-1].isdecimal()
    )


def parse_address(setting: str, value: str) -> tuple[str, int]:
    """Split an address to listen on.

    :param setting: name of the setting, for the error message
    :returns: host and port
    :raises SettingsError: if the value is not an address
    """
    try:
        return split_address(value, min_port=0)
    except ValueError as error:
        raise SettingsError(f"{setting}: {error}") from None
