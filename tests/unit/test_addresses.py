"""Tests of the validation of addresses."""

import testtools

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.addresses import split_address

VALID = {
    "127.0.0.1:80": ("127.0.0.1", 80),
    "10.0.0.1:65535": ("10.0.0.1", 65535),
    "[::1]:9200": ("::1", 9200),
    "localhost:1": ("localhost", 1),
    "a-1.example.com.:80": ("a-1.example.com.", 80),
}
INVALID = (
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:8o",
    "127.0.0.1:80\n",
    "127.0.0.1:\u0664\u0662",
    "127.0.0..1:80",
    "127.0.1:80",
    "256.0.0.1:80",
    "::1:80",
    "[::1:80",
    "[127.0.0.1]:80",
    "a..b:80",
    "-a:80",
    "a b:80",
    "a\r\nb:80",
    "a\0b:80",
    "\u0d15\u0d4a.example:80",
    "a" * 64 + ":80",
    "a." * 127 + "a:80",
)


class AddressTest(testtools.TestCase):
    """Guards against addresses that a lookup takes for others.

    It wraps a port that is out of range and raises UnicodeError for some
    hosts.
    """

    def test_valid_addresses(self):
        for value, expected in VALID.items():
            self.assertEqual(expected, split_address(value))

    def test_invalid_addresses(self):
        for value in INVALID:
            try:
                found = split_address(value)
            except ValueError:
                continue
            self.fail(f"{value!r} was read as {found}")

    def test_any_port_to_listen_on(self):
        self.assertEqual(("h", 0), parse_address("setting", "h:0"))
        error = self.assertRaises(
            SettingsError, parse_address, "setting", "h:65536"
        )
        self.assertIn("setting", str(error))
