"""Tests of the account of a day from log lines."""

import json

import testtools

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.replay.day_account import format_account
from rosemarynotch._internal.replay.day_account import late_causes
from rosemarynotch._internal.replay.day_log import read_day
from rosemarynotch._internal.replay.vm_account import turned_moves
from rosemarynotch._internal.replay.vm_account import vm_seconds


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


def _of_pool(name, held):
    return [
        value for (pool_name, _), value in held.items() if pool_name == name
    ]


class VmUseTest(testtools.TestCase):
    """Guards against VM-seconds that are counted twice or not at all."""

    def held(self, *lines):
        """Return the VM-seconds by pool and cause, rounded."""
        held = vm_seconds(read_day([submitted(0, "first"), *lines]))
        return {key: round(value, 6) for key, value in held.items()}

    def test_each_vm_has_one_cause(self):
        """Guards against a cause that hides another one."""
        held = self.held(
            pool(
                0,
                vms=14,
                moving=1,
                idle=4,
                running_vms=3.5,
                long_running_vms=1.0,
                serving_vms=3,
                demand_vms=3.5,
                expected_vms=5.5,
                spread_vms=4,
                wanted_vms=6,
            ),
            pool(1),
            pool(0, "s", standby=True, vms=9),
            pool(1, "s", standby=True, vms=9),
        )
        causes = {
            "moving": 1.0,
            "batch work": 2.5,
            "long-running tasks": 1.0,
            "kept by long-running tasks": 2.0,
            "partly filled": 3.5,
            "forecast, rise did not come": 1.5,
            "idle, spare or minimum": 0.5,
            "idle, surplus held": 2.0,
        }
        self.assertEqual({("p", key): causes[key] for key in causes}, held)

    def test_idle_vms_that_other_pools_lack(self):
        """Guards against a loss that looks like spare VMs."""
        lacking = {"vms": 6, "demand_vms": 9.0}
        for standby_idle, missed in ((0, 3.0), (2, 1.0), (5, 0.0)):
            with self.subTest(standby_idle):
                held = self.held(
                    pool(0, idle=4),
                    pool(1, idle=4),
                    pool(0, "r", **lacking),
                    pool(1, "r", **lacking),
                    pool(0, "s", standby=True, idle=standby_idle),
                    pool(1, "s", standby=True, idle=standby_idle),
                )
                cause = "idle, work waits elsewhere"
                self.assertEqual(missed, held.get(("p", cause), 0.0))
                self.assertEqual(4.0, sum(_of_pool("p", held)))

    def test_idle_vms_beside_own_work(self):
        """Guards against VMs of which their own pool makes no use."""
        held = self.held(pool(0, idle=4, demand_vms=3.0), pool(1))
        self.assertEqual(3.0, held["p", "idle, own work cannot start"])

    def test_forecast_rise_that_came(self):
        """Guards against calling VMs vain that served a rise."""
        lines = [pool(0, idle=4, expected_vms=4.0), pool(1)]
        key = ("p", "forecast, rise came")
        self.assertNotIn(key, self.held(*lines))
        self.assertEqual(4.0, self.held(*lines, pool(2, demand_vms=3))[key])

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
