"""Tests of the comparison of plays in pairs."""

import json
import os
import tempfile

import testtools

from experiments.paired_days import compare
from experiments.paired_days import Figures
from experiments.paired_days import main
from experiments.paired_days import parse_play
from experiments.paired_days import Result
from rosemarynotch._internal.exceptions import SettingsError

REPORT = {
    "G": 0.5,
    "served": 0.9,
    "parts": [["worst class", 0.3, 0.7]],
    "prices": [["seconds of machines in pools", 1000.0, 0.1]],
    "all": {"n": 10, "not_owed": 2, "in_aim": 6},
    "breaks": {},
    "fault": None,
}


def result(variant, play, worth):
    figures = Figures.from_report(REPORT | {"G": worth})
    return Result(variant, play, figures)


class ComparisonTest(testtools.TestCase):
    """Guards against differences between plays of different days."""

    def test_only_common_plays_are_compared(self):
        """Guards against a day that only one variant played."""
        results = [
            result("base", "a", 0.2),
            result("base", "b", 0.8),
            result("new", "a", 0.3),
            result("new", "c", 0.0),
        ]
        text = compare(results, "base")
        self.assertIn("new against base, 1 pairs", text)
        self.assertIn("+0.100", text)

    def test_report(self):
        """Guards against figures from an incomplete report."""
        figures = Figures.from_report(REPORT)
        self.assertEqual(0.75, figures.in_time)
        self.assertEqual(1000.0, figures.vm_s)
        self.assertRaises(KeyError, Figures.from_report, {"G": 1.0})

    def test_broken_rules_are_kept(self):
        """Guards against a gain of a variant that breaks a rule."""
        broken = REPORT | {"breaks": {"TWICE": 1}}
        self.assertEqual("TWICE", Figures.from_report(broken).broken)


class InputTest(testtools.TestCase):
    """Guards against long plays that start with wrong settings."""

    def test_wrong_plays(self):
        """Guards against a play of another day or seed."""
        for text in ("site.toml", "site.toml:day:x", "missing.toml:day"):
            with self.subTest(text):
                self.assertRaises(SettingsError, parse_play, text)

    def test_wrong_variant(self):
        """Guards against a folder that is no checkout."""
        self.assertRaises(
            SettingsError,
            main,
            bench="b",
            variants=["x=/nowhere"],
            plays=[],
            why="w",
        )

    def test_results_of_another_kind(self):
        """Guards against a results file that is cut short."""
        file = tempfile.NamedTemporaryFile(suffix=".jsonl", delete=False)
        file.close()
        self.addCleanup(os.unlink, file.name)
        path = file.name
        with open(path, "w", encoding="utf-8") as file:
            file.write(json.dumps({"variant": "x"}) + "\n")
        error = self.assertRaises(
            SettingsError,
            main,
            bench="b",
            variants=[],
            plays=[],
            why="w",
            results=path,
        )
        self.assertIn(f"{path}:1", str(error))
