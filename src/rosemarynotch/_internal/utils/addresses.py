"""Parsing of network addresses in settings."""

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["parse_address"]

MAX_PORT = 65_535


def parse_address(setting: str, value: str) -> tuple[str, int]:
    """Split an address of the form ``HOST:PORT``.

    :param setting: name of the setting, for the error message
    :returns: host and port
    :raises SettingsError: if the value is not an address
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise SettingsError(f"{setting}: {value!r} is not HOST:PORT")
    if int(port) > MAX_PORT:
        raise SettingsError(
            f"{setting}: port {port} is greater than {MAX_PORT}"
        )
    return host, int(port)
