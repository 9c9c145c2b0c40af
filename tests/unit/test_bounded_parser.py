"""Tests of the bounded parser against the parser of waitress."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from rosemarynotch._internal.utils.bounded_parser import BoundedParser

ADJUSTMENTS = Adjustments(
    host="127.0.0.1",
    port=0,
    max_request_body_size=100_001,
    max_request_header_size=2000,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
EXTENSIONS = st.sampled_from([b"", b";a=b", b';a="b c"', b";" + b"x" * 300])
CHUNKS = st.lists(st.tuples(st.integers(1, 700), EXTENSIONS), max_size=12)
TRAILERS = st.sampled_from([b"", b"X-Sum: 1\r\n", b"A: b\r\n" * 60])
CUTS = st.lists(st.integers(1, 900), min_size=1, max_size=8)


class Listener:
    """Counts completions."""

    def __init__(self):
        self.completions = 0

    def complete_request(self, request):
        """Count a complete request."""
        self.completions += 1

    def release_request(self, request):
        """Do nothing."""


def parse(parser, parts):
    """Give parts to a parser until it is complete.

    :returns: result, and the number of bytes that were used
    """
    used = 0
    for part in parts:
        while part and not parser.completed:
            count = parser.received(part)
            used += count
            part = part[count:]
            if isinstance(parser, BoundedParser):
                kept = parser.take_kept()
                used -= len(kept)
                part = kept + part
    if not parser.completed:
        return "incomplete", used
    if parser.error is not None:
        return parser.error.code, 0
    body = parser.get_body_stream().read()
    return (body, sorted(parser.headers.items())), used


def split(data, sizes):
    """Return data in parts, with the sizes over and over."""
    parts = []
    while data:
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[:size])
        data = data[size:]
    return parts


def chunked_request(chunks, trailers):
    body = b"".join(
        b"%x%b\r\n%b\r\n" % (size, extension, b"x" * size)
        for size, extension in chunks
    )
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + body + b"0\r\n" + trailers + b"\r\n"


class BoundedParserTest(testtools.TestCase):
    """Guards against requests that are read differently than by waitress."""

    def assert_same(self, data, sizes):
        expected = parse(HTTPRequestParser(ADJUSTMENTS), split(data, sizes))
        listener = Listener()
        parser = BoundedParser(ADJUSTMENTS, listener, False)
        self.assertEqual(expected, parse(parser, split(data, sizes)))
        self.assertEqual(int(parser.completed), listener.completions)

    @settings(deadline=None)
    @given(CHUNKS, TRAILERS, CUTS, st.binary(max_size=20))
    def test_chunked_requests_in_any_parts(self, chunks, trailers, cuts, rest):
        """Guards against bytes that are lost or used twice."""
        self.assert_same(chunked_request(chunks, trailers) + rest, cuts)

    @settings(deadline=None)
    @given(
        CHUNKS,
        TRAILERS,
        CUTS,
        st.integers(0, 3000),
        st.sampled_from([b"", b"\r", b"\n", b"\r\n", b"0", b";", b"\0", b"z"]),
    )
    def test_malformed_requests(self, chunks, trailers, cuts, position, byte):
        """Guards against accepting what waitress refuses."""
        data = chunked_request(chunks, trailers)
        data = data[:position] + byte + data[position + 1 :]
        self.assert_same(data, cuts)

    @settings(deadline=None)
    @given(st.binary(max_size=2500), CUTS)
    def test_bodies_of_announced_length(self, body, cuts):
        """Guards against a body that ends too early or too late."""
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.assert_same(head + body + HEAD, cuts)
