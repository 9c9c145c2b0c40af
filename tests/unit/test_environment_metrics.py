"""Tests of metrics that are added up over all entries."""

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
    """Return the metrics of an entry that ran some requests."""
    metrics = Metrics()
    for time_ms in times_ms:
        metrics.count("refused", team=team)
        metrics.record_ms("run", time_ms, team=team)
    return metrics


def answer_of(metrics):
    """Return what an entry answers when it is asked."""
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
    """Return an encoded histogram with a change to its unpacked part."""
    raw = base64.b64decode(data)
    packed = zlib.compress(change(zlib.decompress(raw[8:])))
    header = raw[:4] + struct.pack(">I", len(packed))
    return base64.b64encode(header + packed)


GOOD = encoded()
# (histogram, part of the problem)
BAD_HISTOGRAMS = (
    (encoded(highest=MAX_UNITS // 60), "other range"),
    (encoded(highest=2**50), "other range"),
    (encoded(digits=3), "other range"),
    (encoded(count=2**60), "count is out of range"),
    (repacked(GOOD, lambda plain: plain + bytes(10**7)), "too long"),
    (repacked(GOOD, lambda plain: plain[:30]), "malformed"),
    (repacked(GOOD, lambda plain: plain[:-1] + b"\x80"), "malformed"),
    (repacked(GOOD, lambda plain: b"\xff" + plain[1:]), "malformed"),
    (GOOD[:-8], "cut off"),
    (GOOD + b"=", "malformed"),
    ("\N{BULLET}".encode() + GOOD, "malformed"),
    (b"rubbish", "malformed"),
    (b"", "cut off"),
)


class ProblemTest(testtools.TestCase):
    """Guards against values of peers that break a page or a sum."""

    def test_good_values(self):
        self.assertEqual("", find_problem(values(1, 50, 900).snapshot()))
        self.assertEqual("", find_problem(MetricsSnapshot()))

    def test_full_process_can_be_sent(self):
        metrics = Metrics()
        for number in range(MAX_COUNTERS + 10):
            metrics.count("refused", code=number)
            metrics.record_ms("run", number, team=number)
        self.assertEqual("", find_problem(metrics.snapshot()))

    def test_bad_histograms(self):
        for data, text in BAD_HISTOGRAMS:
            snapshot = MetricsSnapshot(histograms={"h": data})
            self.assertIn(text, find_problem(snapshot), data[:40])

    def test_bad_counters_and_too_many_series(self):
        many = {str(number): 1 for number in range(MAX_COUNTERS + 2)}
        for counters in ({"c": -1}, {"c": 2**60}, many):
            snapshot = MetricsSnapshot(counters=counters)
            self.assertNotEqual("", find_problem(snapshot))
        histograms = {str(number): GOOD for number in range(257)}
        snapshot = MetricsSnapshot(histograms=histograms)
        self.assertIn("histograms", find_problem(snapshot))


class EnvironmentMetricsTest(testtools.TestCase):
    """Guards against a part of the entries that is taken for all."""

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

    def test_own_values(self):
        port = self.port(entry_2=answer_of(values(5, 7)))
        asked = []
        port.fetch_metrics = asked.append
        answer = self.metrics(port, "?scope=entry")
        self.assertEqual(
            ("entry", ["entry-1"]), (answer["scope"], answer["included"])
        )
        self.assertNotIn("complete", answer)
        self.assertEqual(1, answer["summaries"][RUN]["count"])
        self.assertIn("entry-1 alone", self.page(port, "&scope=entry"))
        self.assertEqual([], asked)

    def test_unknown_scope(self):
        for path in ("/v1/metrics?", "/v1/report?format=html&"):
            status, answer = self.port().call("GET", f"{path}scope=all")
            self.assertEqual(
                (400, "request-malformed"), (status, answer["code"])
            )

    def test_unknown_members_are_not_the_whole(self):
        members = MembersView()
        collector = MetricsCollector("entry-1", values(1), members, self.fail)
        self.assertEqual(["*"], [m.entry for m in collector.collect().missing])
        record = MembersRecord(members={"entry-1": member("entry-1")})
        members.apply(record, 1)
        self.assertEqual((), collector.collect().missing)

    def test_long_names_and_many_charts_are_not_cut_off(self):
        port = self.port()
        team = "consortium-of-savings-banks-of-" + "kochi-" * 20
        port.metrics.record_ms("a_wait", 3, queue="reconciliation", team=team)
        for number in range(MAX_CHARTS + 3):
            port.metrics.record_ms("wait", 3, team=number)
        page = self.page(port)
        self.assertIn(f"<b>a_wait</b> queue=reconciliation, team={team}", page)
        self.assertEqual(MAX_CHARTS, page.count("<svg"))
        self.assertIn("and 5 more series", page)
        # Text in SVG does not wrap; only the ends of the axis are there.
        self.assertEqual(2 * MAX_CHARTS, page.count("<text"))

    def test_page_is_light(self):
        port = self.port()
        for number in range(MAX_CHARTS):
            for time_ms in (0.1, 1, 20, 300, 4_000, 50_000, 3_000_000):
                port.metrics.record_ms("wait", time_ms, team=number)
        self.assertLess(len(self.page(port)), 40_000)
