"""Tests of metrics and log lines."""

import io
import threading

import logbook
import testtools

from rosemarynotch._internal.utils.logs import set_up_logs
from rosemarynotch._internal.utils.metrics import Metrics


class MetricsTest(testtools.TestCase):
    """Guards against lost counts, unbounded memory use and wrong sums."""

    def test_merge_adds_counters_and_histograms(self):
        """Guards against sums that lose or repeat values."""
        first, second = Metrics(), Metrics()
        first.count("refused", team="a")
        first.record_ms("wait", 1.5, team="a")
        second.count("refused", 2, team="a")
        second.record_ms("wait", 400, team="a")
        merged = first.snapshot().merge(second.snapshot())
        self.assertEqual({"refused{team=a}": 3}, merged.counters)
        summary = merged.summary("wait{team=a}")
        self.assertEqual(2, summary.count)
        self.assertTrue(1.4 < summary.p50_ms < 1.6, summary)
        self.assertTrue(395 < summary.max_ms < 405, summary)
        both = first.snapshot().merge(second.snapshot(), second.snapshot())
        self.assertEqual({"refused{team=a}": 5}, both.counters)
        self.assertEqual(3, both.summary("wait{team=a}").count)

    def test_number_of_series_is_bounded(self):
        """Guards against memory use that grows with the label values."""
        metrics = Metrics(max_counters=3, max_histograms=2)
        for number in range(10):
            metrics.count("a", label=number)
            metrics.record_ms("b", 1, label=number)
        snapshot = metrics.snapshot()
        self.assertEqual(2, len(snapshot.histograms))
        self.assertEqual(15, snapshot.counters["overflow"])
        self.assertEqual(4, len(snapshot.counters))

    def test_out_of_range_durations_are_kept(self):
        """Guards against losing durations that a histogram cannot hold."""
        metrics = Metrics()
        metrics.record_ms("wait", -1)
        metrics.record_ms("wait", 1e9)
        self.assertEqual(2, metrics.snapshot().summary("wait").count)

    def test_counts_of_threads_are_not_lost(self):
        """Guards against counts lost when threads count at the same time."""
        metrics = Metrics()

        def work():
            for _ in range(500):
                metrics.count("a")
                metrics.record_ms("b", 1)

        threads = [threading.Thread(target=work) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        snapshot = metrics.snapshot()
        self.assertEqual(2000, snapshot.counters["a"])
        self.assertEqual(2000, snapshot.summary("b").count)


class LogsTest(testtools.TestCase):
    """Guards against log lines that contain keys or line breaks."""

    def test_line_has_its_fields_and_no_secret(self):
        """Guards against secrets in logs and lines that cannot be parsed."""
        stream = io.StringIO()
        handler = set_up_logs("entry", "i1", stream=stream)
        try:
            logbook.Logger("tests").notice(
                "wave paused", change_id="c1", key="s3cret", why='a "b"\nc'
            )
        finally:
            handler.pop_application()
        line = stream.getvalue()
        self.assertEqual(1, line.count("\n"))
        self.assertNotIn("s3cret", line)
        for part in (
            "level=notice",
            "component=entry",
            "incarnation=i1",
            "change_id=c1",
            'why="a \\"b\\"\\nc"',
        ):
            self.assertIn(part, line)
