"""Tests of the report, the share meter and the observer."""

import attrs
import testtools

from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.configuration import Freshness
from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.operators.findings import evaluate_snapshot
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators.report import MAX_LINES
from rosemarynotch._internal.operators.report import report_lines
from rosemarynotch._internal.operators.report import WIDTH
from rosemarynotch._internal.operators.shares import ShareMeter
from rosemarynotch._internal.operators.snapshot import FleetSnapshot
from rosemarynotch._internal.operators.snapshot import MemberState
from rosemarynotch._internal.operators.snapshot import PoolState
from rosemarynotch._internal.operators.snapshot import ShareState
from rosemarynotch._internal.operators.snapshot import TeamState
from rosemarynotch._internal.operators.snapshot import WaveProgress
from rosemarynotch._internal.peers import ReceivedHeartbeat
from tests.lib.clocks import ManualClock
from tests.lib.documents import make_document

MEMBER = MemberState(
    name="entry-1",
    kind="entry",
    heard_age_s=0.4,
    config_version=7,
    fleet_revision=3,
    store_age_s=0.5,
)
POOL = PoolState(
    name="settlement", min_available_vms=4, total_vms=6, serving_vms=6
)
TEAM = TeamState(name="harbour", limit_requests=60, running_requests=20)
HEALTHY = FleetSnapshot(
    environment="kochi",
    time_s=1_000_000.0,
    version=7,
    accepted_at_s=999_000.0,
    store_age_s=0.3,
    fleet_revision=3,
    silent_after_s=3.0,
    members=(MEMBER, attrs.evolve(MEMBER, name="entry-2")),
    pools=(POOL,),
    teams=(TEAM,),
    shares_measured=True,
)
OLD = attrs.evolve(MEMBER, name="entry-9", heard_age_s=200)

UNDER_SHARE = ShareState(
    pool="settlement", team="market", expected_part=0.5, served_part=0.4
)
HELD = WaveProgress(
    name="monthly", state="paused", done_vms=2, total_vms=6, held_by="rack r2"
)

LIST_ALARM = "the platform's VM list is empty"


def pool(**fields):
    return {"pools": (attrs.evolve(POOL, **fields),)}


def team(**fields):
    return {"teams": (attrs.evolve(TEAM, **fields),)}


def member(**fields):
    return {"members": (MEMBER, attrs.evolve(MEMBER, **fields))}


# (change to the healthy snapshot, text in the report)
PROBLEMS = (
    (pool(serving_vms=3), "AT RISK: P1"),
    (pool(ejected_vms=("a", "b", "c")), "P1 settlement: 3 VMs usable"),
    (pool(serving_vms=4), "none to spare"),
    (team(running_requests=61), "P4 harbour: 61"),
    (team(running_requests=57), "57 of limit 60"),
    ({"store_age_s": 40.0}, "P10 Store last seen 40 s ago"),
    ({"store_age_s": 1e9}, "not seen since the start"),
    (member(config_version=6), "P10 entry-1 has v6"),
    (member(heard_age_s=200), "entry-1: silent for 3 min"),
    (member(heard_age_s=None), "entry-1: never heard"),
    (member(store_age_s=30), "entry-1: store last seen 30 s ago"),
    ({"members": ()}, "No members are known"),
    ({"version": 0}, "No configuration is known"),
    ({"fleet_revision": 0}, "VM states are not known"),
    ({"shares": (UNDER_SHARE,)}, "market: 20% under share"),
    ({"waves": (HELD,)}, "held: rack r2"),
    ({"control_alarms": (LIST_ALARM,)}, f"are not seen: {LIST_ALARM}"),
)


class ReportTest(testtools.TestCase):
    """Guards against a report that hides problems or exceeds its size."""

    def assert_fits(self, lines):
        self.assertTrue(len(lines) <= MAX_LINES, lines)
        self.assertTrue(all(len(line) <= WIDTH for line in lines), lines)

    def test_healthy_fleet(self):
        """Guards against alarms for a healthy fleet."""
        lines = report_lines(HEALTHY)
        self.assert_fits(lines)
        self.assertEqual("No promise at risk", lines[1])
        self.assertIn("Config: v7 on 2 of 2", lines)

    def test_problems_are_shown(self):
        """Guards against problems that the report does not name."""
        for fields, text in PROBLEMS:
            lines = report_lines(attrs.evolve(HEALTHY, **fields))
            self.assert_fits(lines)
            joined = " ".join(line.strip() for line in lines)
            self.assertIn(text, joined)
            self.assertNotEqual("No promise at risk", lines[1], fields)

    def test_heartbeats_are_expected_of_leading_control_only(self):
        """Guards against counting standby processes as silent.

        Also guards against hiding that no control process leads.
        """
        leader = attrs.evolve(MEMBER, name="control-1", kind="control")
        standby = attrs.evolve(
            leader, name="control-2", heard_age_s=None, config_version=0
        )
        former = attrs.evolve(
            leader, name="control-3", heard_age_s=99, config_version=2
        )
        members = (*HEALTHY.members, leader, standby, former)
        healthy = attrs.evolve(HEALTHY, members=members)
        lines = report_lines(healthy)
        self.assertEqual("No promise at risk", lines[1])
        self.assertIn("Config: v7 on 3 of 3", lines)
        self.assertIn("Heard: 3 of 3, oldest 0 s", lines)
        members = (*HEALTHY.members, standby, former)
        lines = report_lines(attrs.evolve(HEALTHY, members=members))
        self.assertIn("! No control is heard, none may lead", lines)
        self.assertEqual("NOT KNOWN: 1 gap in the data", lines[1])
        behind = attrs.evolve(leader, config_version=6)
        members = (*HEALTHY.members, behind)
        lines = report_lines(attrs.evolve(HEALTHY, members=members))
        self.assertIn("Config: v7 on 2 of 3", lines)

    def test_missing_data_is_not_reported_as_no_risk(self):
        """Guards against taking missing data for a healthy state."""
        for fields in (
            {"members": (MEMBER, OLD)},
            {"members": ()},
            {"version": 0},
            {"fleet_revision": 0},
            {"store_age_s": 40.0},
            {"control_alarms": (LIST_ALARM,)},
        ):
            text = "\n".join(report_lines(attrs.evolve(HEALTHY, **fields)))
            self.assertNotIn("No promise at risk", text)

    def test_severe_findings_come_first_and_omitted_ones_are_counted(self):
        """Guards against severe findings cut off by the size limit."""
        pools = tuple(
            attrs.evolve(POOL, name=f"pool-{number}", serving_vms=3)
            for number in range(30)
        )
        members = (MEMBER, OLD)
        snapshot = attrs.evolve(HEALTHY, pools=pools, members=members)
        lines = report_lines(snapshot)
        self.assert_fits(lines)
        self.assertIn("P1 pool-0", lines[3])
        shown = sum(
            line.startswith("! ") and "more" not in line for line in lines
        )
        hidden = len(evaluate_snapshot(snapshot)) - shown
        self.assertIn(f"! and {hidden} more, see status", lines)


class ShareMeterTest(testtools.TestCase):
    """Guards against comparing teams without queued requests."""

    def sample(self, rates, queued, samples=8, restart_at=-1):
        clock = ManualClock()
        meter = ShareMeter(clock)
        for number in range(samples):
            restarted = 0 <= restart_at <= number
            since = number - restart_at if restarted else number + 50
            rows = tuple(
                DemandRow(
                    pool="settlement",
                    team=team,
                    queued_requests=queued[team],
                    running_requests=1,
                    served_worth=rate * since,
                    slot_s=0,
                )
                for team, rate in rates.items()
            )
            beat = heartbeat(demand=rows, incarnation=str(restarted))
            meter.sample([beat])
            clock.advance(5)
        return meter.shares(make_document())

    def test_teams_with_queued_requests_are_compared(self):
        """Guards against wrong deviations after an entry is restarted.

        Its counters start again from 0.
        """
        for restart_at in (-1, 4):
            shares = self.sample(
                {"harbour": 10, "market": 10},
                {"harbour": 5, "market": 5},
                restart_at=restart_at,
            )
            self.assertEqual(["harbour", "market"], [s.team for s in shares])
            self.assertAlmostEqual(-0.25, shares[0].deviation)
            self.assertAlmostEqual(0.5, shares[1].deviation)

    def test_team_without_queued_requests_is_not_compared(self):
        """Guards against an alarm for a team that needs no more."""
        queued = {"harbour": 0, "market": 5}
        self.assertEqual((), self.sample({"harbour": 1, "market": 9}, queued))


def heartbeat(sender="entry-2", **fields):
    values = {
        "incarnation": "i",
        "sequence": 1,
        "members_revision": 1,
        "config_version": 4,
        "fleet_revision": 1,
        "store_age_s": 0.1,
    }
    return Heartbeat(sender=sender, **{**values, **fields})


class ObserverTest(testtools.TestCase):
    """Guards against a snapshot of the wrong members.

    Heartbeats of unlisted members must not count, and members whose last
    heartbeat is old must be shown as silent.
    """

    def test_snapshot(self):
        """Guards against a snapshot with old or foreign heartbeats."""
        clock = ManualClock()
        in_force, fleet, members = ConfigInForce(), FleetView(), MembersView()
        version = ConfigVersion(
            version=4,
            digest="d",
            change_id="c",
            operator="anna",
            reason="",
            accepted_at_s=900.0,
        )
        in_force.apply(ConfigPointer(current=version), make_document())
        vm = VmRecord(
            pool="settlement",
            state=VmState.SERVING,
            instance="i",
            address="a",
            data_centre="d",
            rack="r",
        )
        failed = attrs.evolve(vm, state=VmState.FAILED)
        fleet.apply(FleetRecord(vms={"s-1": vm, "s-2": failed}), 5)
        rows = {
            name: Member(
                name=name,
                kind=MemberKind.ENTRY,
                incarnation="i",
                vm=name,
                vm_instance="v",
                data_centre="d",
                peer_address="p",
            )
            for name in ("entry-1", "entry-2", "entry-3")
        }
        members.apply(MembersRecord(members=rows), 1)
        row = DemandRow(
            pool="settlement",
            team="harbour",
            queued_requests=1,
            running_requests=2,
            served_worth=0,
            slot_s=0,
        )
        beats = {
            "entry-2": heartbeat(
                demand=(row,),
                config_version=5,
                running_by_vm={"s-2": 3},
                alarms=(LIST_ALARM,),
            )
        }
        ages = {"entry-3": 200.0}
        beats["entry-3"] = heartbeat("entry-3", alarms=("outdated",))
        beats["entry-7"] = heartbeat("entry-7", demand=(row,))
        observer = Observer(
            "trial",
            in_force,
            fleet,
            members,
            Freshness(clock, members, "entry-1"),
            lambda: {
                name: ReceivedHeartbeat(
                    heartbeat=beat, age_s=ages.get(name, 1.0)
                )
                for name, beat in beats.items()
            },
            lambda: heartbeat("entry-1", demand=(row,)),
            clock,
        )
        snapshot = observer.snapshot()
        self.assertEqual(["entry-3"], [m.name for m in snapshot.silent])
        self.assertEqual((LIST_ALARM,), snapshot.control_alarms)
        self.assertEqual(5, snapshot.version)
        self.assertEqual((1, 3), snapshot.in_force(5))
        self.assertEqual(4, snapshot.teams[0].running_requests)
        self.assertEqual({"failed": ("s-2",)}, snapshot.pools[0].out_vms)
        self.assertEqual(
            [("s-2", 3)],
            [(vm.name, vm.running_requests) for vm in snapshot.vms_out],
        )
        usage = observer.usage()
        self.assertFalse(usage.complete)
        self.assertEqual({"settlement": 6}, usage.work_by_pool)
