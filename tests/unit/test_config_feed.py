"""Tests of how nodes follow configurations that are large or change often."""

import threading
import types

import testtools

from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.model import Configuration
from tests.lib.coordination import RecordedStore

KEY = "op/config"


class TestManyVersions(testtools.TestCase):
    """Guards against work and memory for versions that no caller ever meets.

    With 4,400 queues, 20 versions a second and a store that took 0.7 s, each
    answer to a watch had more versions than the one before: a node reached
    148 MB and was 2.6 to 3 s behind after 8 s.
    """

    def setUp(self):
        super().setUp()
        self.store = RecordedStore()
        self.decoded = []
        clock = types.SimpleNamespace(monotonic_s=lambda: 1.0)
        self.feed = ConfigFeed(
            self.store,
            clock,
            KEY,
            self.decode,
            lambda event, **fields: None,
        )

    def decode(self, item):
        """Decode a version, which is its number."""
        self.decoded.append(item.value)
        if item.value == b"x":
            return RECORD_MALFORMED
        return Configuration(version=int(item.value), revision=item.revision)

    def put(self, *values):
        """Write versions one after the other."""
        for value in values:
            self.store.put(KEY, value)

    def test_only_the_newest_of_several_is_decoded(self):
        """Guards against processor time for each version of an answer."""
        self.put(b"1")
        revision = self.feed.refresh()
        self.put(b"2", b"3", b"4")
        self.feed._watch(revision)
        self.assertEqual(4, self.feed.current.version)
        self.assertEqual([b"1", b"4"], self.decoded)

    def test_valid_version_before_a_malformed_one(self):
        """Guards against a valid version that is passed over."""
        self.put(b"1")
        revision = self.feed.refresh()
        self.put(b"2", b"3", b"x")
        self.feed._watch(revision)
        self.assertEqual(3, self.feed.current.version)

    def test_feed_that_is_behind_reads_the_key(self):
        """Guards against answers that hold ever more versions."""
        calls, stop = [], threading.Event()
        watch, get = self.store.watch, self.store.get
        self.put(b"1")
        # Versions that are written before each call.
        writes = iter(([], [b"2"], [b"3", b"4"], [b"5", b"6"], [], []))

        def count(name, call):
            def counted(*args):
                self.put(*next(writes))
                calls.append(name)
                if len(calls) == 6:
                    stop.set()
                return call(*args)

            return counted

        self.store.watch = count("watch", watch)
        self.store.get = count("get", get)
        self.feed.run(stop)
        self.assertEqual(
            ["get", "watch", "watch", "get", "get", "watch"], calls
        )
        self.assertEqual(6, self.feed.current.version)
