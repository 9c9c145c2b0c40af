"""Tests that the time of a wave continues when the leader changes."""

import types

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveRecord
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.wave_runner import WaveRunner

WAVE = Wave(number=1, vms=("a",), duration_s=25.0, max_down=1)


class WaveTimeTest(testtools.TestCase):
    """Guards against a wave's time that starts again with a new leader.

    The start is kept in the store. In incident inc-c3b9, the time started
    again with a new leader, which therefore left out busy pools until the wave
    was late.
    """

    def seen_at_s(self, record):
        """Return the start of the wave's time in a runner with a record."""
        item = STORE_KEY_MISSING
        if record is not None:
            item = Item(key="k", revision=1, value=encode(record))
        controller = types.SimpleNamespace(
            ports=types.SimpleNamespace(
                store=types.SimpleNamespace(get=lambda key: item)
            ),
            clock=types.SimpleNamespace(wall_s=lambda: 5000.0),
            log=lambda event, **fields: None,
        )
        runner = WaveRunner(controller, None, None, 2.0)
        runner._add(WAVE, 1000.0)
        (each,) = runner._waves.values()
        self.assertGreater(each.record.seen_unix_ms, 0)
        return each.seen_at_s

    def test_new_wave(self):
        """Guards against a start other than now if none is recorded."""
        self.assertEqual(1000.0, self.seen_at_s(None))
        self.assertEqual(1000.0, self.seen_at_s(WaveRecord()))

    def test_wave_of_an_earlier_leader(self):
        """Guards against ignoring the start that is recorded."""
        record = WaveRecord(seen_unix_ms=4_982_000)
        self.assertEqual(982.0, self.seen_at_s(record))

    def test_clock_behind_that_of_earlier_leader(self):
        """Guards against a start in the future.

        It is read if the clock of the earlier leader was ahead.
        """
        record = WaveRecord(seen_unix_ms=5_002_000)
        self.assertEqual(1000.0, self.seen_at_s(record))
