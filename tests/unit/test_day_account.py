"""Tests of the account of a day from log lines."""

import json

import testtools

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.replay.day_account import format_account
from rosemarynotch._internal.replay.day_account import late_causes
from rosemarynotch._internal.replay.day_account import turned_moves
from rosemarynotch._internal.replay.day_account import vm_seconds
from rosemarynotch._internal.replay.day_log import read_day


def line(time_s, event, **fields):
    """Return a log line as the nodes and the bench write it."""
    return f"{time_s:.3f} node-1 " + json.dumps(
        {"time_s": 1000 + time_s, "event": event, "node": "node-1", **fields}
    )


def submitted(time_s, job, outcome="accepted"):
    return line(
        time_s,
        "job submitted",
        job=job,
        queue="q",
        pool="p",
        organisation="o",
        outcome=outcome,
    )


def ended(time_s, job, started_ms=None, step_wait_ms=0, run_ms=500, **fields):
    """Return the end of a job with an objective of one second."""
    known = started_ms is not None
    return line(
        time_s,
        "job ended",
        job=job,
        phase=fields.pop("phase", "completed"),
        queue="q",
        objective_ms=1000 if known else None,
        started_ms=started_ms,
        step_wait_ms=step_wait_ms if known else None,
        run_ms=run_ms if known else None,
        lost_runs=0,
        **fields,
    )


def pool(time_s, name="p", **fields):
    values = {
        "pool": name,
        "standby": False,
        "vms": 4,
        "idle": 0,
        "moving": 0,
        "running_vms": 0.0,
        "demand_vms": 0.0,
        "expected_vms": 0.0,
        "spread_vms": 0,
        "wanted_vms": 4,
    }
    return line(time_s, "pool size", **(values | fields))


class CauseTest(testtools.TestCase):
    """Guards against late jobs with a wrong cause or without one."""

    def causes(self, *lines):
        return late_causes(read_day([submitted(0, "first"), *lines]))

    def test_job_in_time_has_no_cause(self):
        """Guards against counting jobs that met their objective."""
        lines = [pool(0), submitted(1, "a"), ended(1.9, "a", started_ms=800)]
        causes = self.causes(*lines)
        self.assertNotIn("a", causes)

    def test_job_shown_before_its_end_was_recorded(self):
        """Guards against outages that count jobs which callers saw end."""
        shown = line(1.9, "job shown by the leader", job="a")
        lines = [pool(0), submitted(1, "a"), shown, ended(4, "a")]
        others = [submitted(1, "b"), ended(1.9, "b", started_ms=800)]
        self.assertNotIn("a", self.causes(*lines, *others))
        del lines[2]
        self.assertIn("a", self.causes(*lines, *others))

    def test_waiting_for_vms(self):
        """Guards against a wrong reason for a late start."""
        cases = (
            ({"moving": 2}, "start: VMs under way"),
            ({"idle": 1}, "start: idle VMs in the pool"),
            ({}, "start: all VMs full"),
        )
        for fields, cause in cases:
            with self.subTest(cause):
                causes = self.causes(
                    pool(1, **fields),
                    submitted(1, "a"),
                    ended(4, "a", started_ms=600),
                )
                self.assertEqual(cause, causes["a"])

    def test_outages(self):
        """Guards against blaming a pool for an outage."""
        late = [submitted(1, "a"), ended(4, "a", started_ms=600)]
        away = self.causes(
            pool(0), line(1, "store lost"), line(3.4, "store regained"), *late
        )
        self.assertEqual("store away", away["a"])
        leaderless = self.causes(
            pool(0), line(0.9, "leader load"), line(3.4, "leading"), *late
        )
        self.assertEqual("no leader", leaderless["a"])

    def test_refused_and_failed(self):
        """Guards against jobs that were never accepted or done."""
        causes = self.causes(
            pool(0),
            submitted(1, "a", "configuration-stale"),
            submitted(1, "b"),
            ended(2, "b", phase="failed"),
        )
        self.assertEqual("refused: configuration-stale", causes["a"])
        self.assertEqual("failed", causes["b"])

    def test_job_of_several_leaders(self):
        """Guards against guessing; the usual objective of the queue counts."""
        causes = self.causes(
            pool(0),
            submitted(1, "a"),
            ended(1.8, "a", started_ms=700),
            submitted(2, "b"),
            ended(6, "b"),
            submitted(7, "c"),
            ended(7.5, "c"),
        )
        self.assertEqual({"b": "change of the leader"}, causes)


class VmUseTest(testtools.TestCase):
    """Guards against VM-seconds that are counted twice or not at all."""

    def test_uses(self):
        """Guards against a use that hides another one."""
        day = read_day(
            [
                submitted(0, "first"),
                pool(
                    0,
                    vms=10,
                    moving=1,
                    running_vms=2.5,
                    demand_vms=3.0,
                    spread_vms=4,
                    wanted_vms=6,
                ),
                pool(1),
                pool(0, "s", standby=True, vms=9),
                pool(1, "s", standby=True, vms=9),
            ]
        )
        uses = vm_seconds(day)
        self.assertEqual(10.0, round(sum(uses.values()), 6))
        self.assertEqual(1.0, uses["moving"])
        self.assertEqual(2.5, uses["work"])
        self.assertEqual(1.5, uses["spread"])
        self.assertEqual(2.0, uses["spare"])

    def test_turned_moves(self):
        """Guards against moves that serve nobody and look useful."""

        def move(time_s, source, target):
            return line(
                time_s,
                "vm ordered",
                what="move",
                outcome="begun",
                vm="v",
                pool=source,
                to=target,
            )

        day = read_day(
            [
                submitted(0, "first"),
                pool(0),
                move(1, "s", "p"),
                move(4, "p", "s"),
                move(20, "s", "p"),
            ]
        )
        self.assertEqual(1, turned_moves(day))


class ReadTest(testtools.TestCase):
    """Guards against an account of a log that does not cover the day."""

    def test_incomplete_logs(self):
        """Guards against an empty account in place of an error."""
        for lines in ([], [submitted(0, "a")], [pool(0)], ["no json {"]):
            with self.subTest(lines):
                self.assertRaises(SettingsError, read_day, lines)

    def test_missing_field_is_named(self):
        """Guards against a log of another version that is half read."""
        lines = [submitted(0, "a"), line(1, "pool size", pool="p")]
        error = self.assertRaises(SettingsError, read_day, lines)
        self.assertIn("standby", str(error))

    def test_text(self):
        """Guards against an account that cannot be printed."""
        text = format_account(
            read_day([submitted(0, "a", "overloaded"), pool(0), pool(1)])
        )
        self.assertIn("refused: overloaded", text)
        self.assertIn("VM-seconds in pools: 4", text)
