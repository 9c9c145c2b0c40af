"""Tests of metrics that are merged over all entries."""

import base64
import struct
import zlib

from hdrh.histogram import HdrHistogram
import testtools

from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.exceptions import PEER_TIMEOUT
from rosemarynotch._internal.exceptions import PEER_VERSION
from rosemarynotch._internal.models.messages import MetricsAnswer
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.operators.collector import MetricsCollector
from rosemarynotch._internal.operators.page import MAX_CHARTS
from rosemarynotch._internal.utils.metrics import find_problem
from rosemarynotch._internal.utils.metrics import MAX_COUNTERS
from rosemarynotch._internal.utils.metrics import MAX_UNITS
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.metrics import MetricsSnapshot
from rosemarynotch._internal.utils.metrics import SIGNIFICANT_DIGITS
from tests.lib.fleet import member
from tests.lib.operators import OperatorPort

RUN = "run{team=vypin-bank}"


def values(*times_ms, team="vypin-bank"):
    """Return the metrics of an entry that refused and ran requests."""
    metrics = Metrics()
    for time_ms in times_ms:
        metrics.count("refused", team=team)
        metrics.record_ms("run", time_ms, team=team)
    return metrics


def answer_of(metrics):
    """Return the response of an entry to a request for its metrics."""
    snapshot = metrics.snapshot()
    return MetricsAnswer(
        counters=snapshot.counters, histograms=snapshot.histograms
    )


def encoded(highest=MAX_UNITS, digits=SIGNIFICANT_DIGITS, value=5, count=1):
    """Return an encoded histogram with one value."""
    histogram = HdrHistogram(1, highest, digits)
    histogram.record_value(value, count)
    return histogram.encode()


def repacked(data, change):
    """Return an encoded histogram with its uncompressed payload changed."""
    raw = base64.b64decode(data)
    packed = zlib.compress(change(zlib.decompress(raw[8:])))
    header = raw[:4] + struct.pack(">I", len(packed))
    return base64.b64encode(header + packed)


VALID_HISTOGRAM = encoded()
# (histogram, part of the problem)
INVALID_HISTOGRAMS = (
    (encoded(highest=MAX_UNITS // 60), "other range"),
    (encoded(highest=2**50), "other range"),
    (encoded(digits=3), "other range"),
    (encoded(count=2**60), "count is out of range"),
    (
        repacked(VALID_HISTOGRAM, lambda plain: plain + bytes(10**7)),
        "too long",
    ),
    (repacked(VALID_HISTOGRAM, lambda plain: plain[:30]), "malformed"),
    (
        repacked(VALID_HISTOGRAM, lambda plain: plain[:-1] + b"\x80"),
        "malformed",
    ),
    (
        repacked(VALID_HISTOGRAM, lambda plain: b"\xff" + plain[1:]),
        "malformed",
    ),
    (VALID_HISTOGRAM[:-8], "cut off"),
    (VALID_HISTOGRAM + b"=", "malformed"),
    ("\N{BULLET}".encode() + VALID_HISTOGRAM, "malformed"),
    (b"rubbish", "malformed"),
    (b"", "cut off"),
)


class ProblemTest(testtools.TestCase):
    """Guards against metrics of peers that corrupt the page or the sums."""

    def test_valid_metrics(self):
        """Guards against refusing valid metrics."""
        self.assertEqual("", find_problem(values(1, 50, 900).snapshot()))
        self.assertEqual("", find_problem(MetricsSnapshot()))

    def test_metrics_at_their_limits_are_valid(self):
        """Guards against refusing an entry that reached its limits."""
        metrics = Metrics()
        for number in range(MAX_COUNTERS + 10):
            metrics.count("refused", code=number)
            metrics.record_ms("run", number, team=number)
        self.assertEqual("", find_problem(metrics.snapshot()))

    def test_bad_histograms(self):
        """Guards against histograms that cannot be decoded or added."""
        for data, text in INVALID_HISTOGRAMS:
            snapshot = MetricsSnapshot(histograms={"h": data})
            self.assertIn(text, find_problem(snapshot), data[:40])

    def test_bad_counters_and_too_many_series(self):
        """Guards against invalid sums and unbounded memory use."""
        many = {str(number): 1 for number in range(MAX_COUNTERS + 2)}
        for counters in ({"c": -1}, {"c": 2**60}, many):
            snapshot = MetricsSnapshot(counters=counters)
            self.assertNotEqual("", find_problem(snapshot))
        histograms = {str(number): VALID_HISTOGRAM for number in range(257)}
        snapshot = MetricsSnapshot(histograms=histograms)
        self.assertIn("histograms", find_problem(snapshot))


class EnvironmentMetricsTest(testtools.TestCase):
    """Guards against metrics of some entries that are shown as complete."""

    def port(self, **peers):
        port = OperatorPort(
            peers={name.replace("_", "-"): peers[name] for name in peers}
        )
        port.metrics.record_ms("run", 3, team="vypin-bank")
        port.metrics.count("refused", team="vypin-bank")
        return port

    def metrics(self, port, query=""):
        status, answer = port.call("GET", f"/v1/metrics{query}")
        self.assertEqual(200, status, answer)
        return answer

    def page(self, port, query=""):
        _, page = port.call("GET", f"/v1/report?format=html{query}")
        return page

    def test_all_entries(self):
        """Guards against sums that omit or repeat an entry."""
        port = self.port(
            entry_2=answer_of(values(5, 7)), entry_3=answer_of(values(900))
        )
        answer = self.metrics(port)
        self.assertEqual(
            ("environment", True, []),
            (answer["scope"], answer["complete"], answer["missing"]),
        )
        names = ["entry-1", "entry-2", "entry-3"]
        self.assertEqual(names, answer["included"])
        self.assertEqual(4, answer["counters"]["refused{team=vypin-bank}"])
        summary = answer["summaries"][RUN]
        self.assertEqual(4, summary["count"])
        self.assertTrue(890 < summary["max_ms"] < 910, summary)
        page = self.page(port)
        self.assertIn("all 3 entries", page)
        self.assertIn("4 values", page)
        self.assertNotIn("Not complete", page)

    def test_silent_old_and_malformed_entries_are_named(self):
        """Guards against omitting an entry without saying so."""
        rubbish = MetricsAnswer(counters={}, histograms={RUN: b"rubbish"})
        port = self.port(
            entry_2=answer_of(values(5, 7)),
            entry_3=PEER_TIMEOUT.with_reason("entry-3 did not <answer>"),
            entry_4=PEER_VERSION.with_reason("protocol version 2"),
            entry_5=rubbish,
        )
        answer = self.metrics(port)
        self.assertFalse(answer["complete"])
        self.assertEqual(["entry-1", "entry-2"], answer["included"])
        self.assertEqual(
            [
                ("entry-3", "peer-timeout"),
                ("entry-4", "peer-version"),
                ("entry-5", "record-malformed"),
            ],
            [(item["entry"], item["code"]) for item in answer["missing"]],
        )
        self.assertIn(RUN, answer["missing"][2]["reason"])
        self.assertEqual(3, answer["summaries"][RUN]["count"])
        counted = self.metrics(port)["counters"]
        for code in ("peer-timeout", "peer-version", "record-malformed"):
            self.assertEqual(2, counted[f"metrics_missing{{code={code}}}"])
        page = self.page(port)
        for text in (
            "Not complete",
            "<li>entry-3: did not &lt;answer&gt;</li>",
            "entry-5: histogram",
            "3 values",
        ):
            self.assertIn(text, page)
        self.assertNotIn("all ", page)

    def test_metrics_of_one_entry(self):
        """Guards against requests to others for metrics of one entry."""
        port = self.port(entry_2=answer_of(values(5, 7)))
        requested = []
        port.fetch_metrics = requested.append
        answer = self.metrics(port, "?scope=entry")
        self.assertEqual(
            ("entry", ["entry-1"]), (answer["scope"], answer["included"])
        )
        self.assertNotIn("complete", answer)
        self.assertEqual(1, answer["summaries"][RUN]["count"])
        self.assertIn("entry-1 alone", self.page(port, "&scope=entry"))
        self.assertEqual([], requested)

    def test_unknown_scope(self):
        """Guards against showing another scope than requested."""
        for path in ("/v1/metrics?", "/v1/report?format=html&"):
            status, answer = self.port().call("GET", f"{path}scope=all")
            self.assertEqual(
                (400, "request-malformed"), (status, answer["code"])
            )

    def test_metrics_are_incomplete_without_a_members_record(self):
        """Guards against complete metrics while the members are unknown."""
        members = MembersView()
        collector = MetricsCollector("entry-1", values(1), members, self.fail)
        self.assertEqual(["*"], [m.entry for m in collector.collect().missing])
        record = MembersRecord(members={"entry-1": member("entry-1")})
        members.apply(record, 1)
        self.assertEqual((), collector.collect().missing)

    def test_long_names_and_many_charts_are_not_cut_off(self):
        """Guards against truncated names and charts omitted silently."""
        port = self.port()
        team = "consortium-of-savings-banks-of-" + "kochi-" * 20
        port.metrics.record_ms("a_wait", 3, queue="reconciliation", team=team)
        for number in range(MAX_CHARTS + 3):
            port.metrics.record_ms("wait", 3, team=number)
        page = self.page(port)
        self.assertIn(f"<b>a_wait</b> queue=reconciliation, team={team}", page)
        self.assertEqual(MAX_CHARTS, page.count("<svg"))
        self.assertIn("and 5 more series", page)
        # SVG text does not wrap, so it has only the labels of the axis.
        self.assertEqual(2 * MAX_CHARTS, page.count("<text"))

    def test_size_of_the_page(self):
        """Guards against a page that is too large to load."""
        port = self.port()
        for number in range(MAX_CHARTS):
            for time_ms in (0.1, 1, 20, 300, 4_000, 50_000, 3_000_000):
                port.metrics.record_ms("wait", time_ms, team=number)
        self.assertLess(len(self.page(port)), 40_000)
