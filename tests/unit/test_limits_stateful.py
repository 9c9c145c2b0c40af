"""Stateful test that several processes keep to team limits (P4)."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rosemarynotch._internal.admission.portions import assigned_requests
from rosemarynotch._internal.control.dead_members import DeadMemberRemover
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.peers import ReceivedHeartbeat
from rosemarynotch._internal.reference.records import LIMITS_PREFIX
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.fleet import FakeVmService
from tests.lib.fleet import limit_document
from tests.lib.fleet import LONGEST_RUN_S
from tests.lib.fleet import member
from tests.lib.fleet import pointer
from tests.lib.fleet import Process
from tests.lib.stores import Fault

NAMES = ("a", "b", "c")
TEAM = "ledger"
TICK_S = 0.5

names = strategies.sampled_from(NAMES)


class CheckedStore(KeyValue):
    """Store that fails when a write lets portions grow beyond the limit."""

    def put(self, key, value, expected, lease=""):
        """Write a value; fail if the portions in it grow beyond the limit."""
        before = self.get(key)
        revision = super().put(key, value, expected, lease)
        if key.startswith(LIMITS_PREFIX):
            new = codec.decode(value, LimitRecord)
            old_sum = 0
            if before is not None:
                old_sum = assigned_requests(
                    codec.decode(before.value, LimitRecord)
                )
            assert assigned_requests(new) <= max(old_sum, new.limit_requests)
        return revision


class Holder:
    """A process and what the test knows about it.

    :ivar starts_s: start times of the requests that it has not released
    """

    def __init__(self, process):
        self.process = process
        self.version = 0
        self.starts_s = []
        self.paused = False


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Processes that admit requests during faults of store, list and members.

    A request runs on its target for at most the longest run time, even if its
    process is paused or has crashed. Hypothesis orders rules by name, and the
    derandomized examples depend on that order.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.core = CheckedStore(lambda: self.clock.now_s)
        self.vms = FakeVmService((*NAMES, "control"))
        self.control = Process(self.core, self.clock, member("control"), 99)
        self.leader = DeadMemberRemover(
            self.control.records, "vm-control", self.clock
        )
        self.documents = [limit_document({TEAM: 5})]
        self.incarnations = 0
        self.holders = {}
        self.orphan_starts_s = []
        for name in NAMES:
            self.start(name)
        self.run_reconcilers()
        self.last_total = 0

    def start(self, name):
        self.incarnations += 1
        me = member(
            name,
            f"i{self.incarnations}",
            instance=self.vms.instances[f"vm-{name}"],
        )
        process = Process(self.core, self.clock, me, self.incarnations)
        process.membership.register()
        self.holders[name] = Holder(process)
        self.follow(name)

    def live(self, name):
        holder = self.holders.get(name)
        return None if holder is None or holder.paused else holder

    def total(self):
        """Return the number of requests that may run on targets."""
        since_s = self.clock.now_s - LONGEST_RUN_S
        starts_s = list(self.orphan_starts_s)
        for holder in self.holders.values():
            starts_s += holder.starts_s
        return sum(1 for start_s in starts_s if start_s > since_s)

    def limit(self):
        """Return the highest limit that a process may apply.

        Limits of newer versions also arrive in records written by others.
        """
        oldest = min(
            (holder.version for holder in self.holders.values()),
            default=len(self.documents),
        )
        return max(
            document.team(TEAM).limit_requests
            for document in self.documents[oldest - 1 :]
        )

    @stateful.rule(name=names, count=strategies.integers(1, 6))
    def acquire(self, name, count):
        holder = self.live(name)
        if holder is None:
            return
        for _ in range(count):
            if holder.process.permits.try_acquire(TEAM):
                holder.starts_s.append(self.clock.now_s)
                assert self.total() <= self.limit()

    @stateful.rule(name=names, count=strategies.integers(1, 6))
    def release(self, name, count):
        holder = self.live(name)
        for _ in range(count):
            if holder is not None and holder.starts_s:
                holder.starts_s.pop()
                holder.process.permits.release(TEAM)

    @stateful.rule()
    def fill(self):
        for name in NAMES:
            self.acquire(name, 9)

    @stateful.rule()
    def run_reconcilers(self):
        for name in NAMES:
            self.run_reconciler(name)

    @stateful.rule(name=names)
    def run_reconciler(self, name):
        if self.live(name):
            self.advance(TICK_S)
            self.live(name).process.permits.step()

    @stateful.rule(name=names)
    def poll(self, name):
        if self.live(name):
            self.live(name).process.permits.poll()

    @stateful.rule()
    def poll_all(self):
        """Let all processes learn the members, poll and reconcile."""
        self.learn_members(NAMES)
        for name in NAMES:
            self.poll(name)
        self.run_reconcilers()

    @stateful.rule(sender=names, receiver=names)
    def beat(self, sender, receiver):
        if sender != receiver and self.live(sender) and self.live(receiver):
            heartbeat = self.live(sender).process.heartbeat()
            self.live(receiver).process.permits.record_heartbeat(heartbeat)
            self.run_reconciler(receiver)
            self.run_reconciler(sender)

    @stateful.rule(name=names)
    def follow(self, name):
        holder = self.live(name)
        if holder is None:
            return
        holder.version = len(self.documents)
        holder.process.in_force.apply(
            pointer(holder.version), self.documents[-1]
        )
        holder.process.follow_members()

    @stateful.rule(delay_s=strategies.sampled_from([0.5, 2.5, 8.0]))
    def advance(self, delay_s):
        end_s = self.clock.now_s + delay_s
        while self.clock.now_s < end_s:
            self.clock.advance(TICK_S)
            for holder in list(self.holders.values()):
                if not holder.paused:
                    holder.process.guard.tick()

    @stateful.rule(
        limit=strategies.integers(0, 9), followers=strategies.sets(names)
    )
    def change_limit(self, limit, followers):
        self.documents.append(limit_document({TEAM: limit}))
        for name in sorted(followers):
            self.follow(name)

    @stateful.rule(
        name=names,
        fault=strategies.sampled_from(list(Fault) + ["delay"]),
        calls=strategies.integers(1, 6),
    )
    def store_fault(self, name, fault, calls):
        holder = self.live(name)
        if holder is None:
            return
        store = holder.process.store
        if fault == "delay":
            store.is_delaying = True
        else:
            store.fault, store.fault_calls = fault, calls

    @stateful.rule(name=names)
    def delayed_writes_happen(self, name):
        holder = self.holders.get(name)
        if holder is not None and not holder.process.store.fault_calls > 0:
            holder.process.store.apply_delayed()

    def pause(self, name):
        holder = self.live(name)
        if holder is not None:
            holder.paused = True

    @stateful.rule(name=names)
    def pause_or_resume(self, name):
        holder = self.holders.get(name)
        if holder is not None:
            holder.paused = not holder.paused

    @stateful.rule(
        name=names,
        replaced=strategies.booleans(),
        at_once=strategies.booleans(),
    )
    def crash(self, name, replaced, at_once):
        holder = self.holders.pop(name, None)
        if holder is not None:
            self.orphan_starts_s += holder.starts_s
            if replaced:
                vm = f"vm-{name}"
                old = self.vms.instances[vm]
                self.vms.instances[vm] = str(int(old) + 1)
        if holder is None or at_once:
            self.start(name)

    @stateful.rule(name=names)
    def restart_under_load(self, name):
        """Restart a process; others must not reclaim what still runs."""
        self.fill()
        self.crash(name, False, True)
        for _ in range(2):
            self.poll_all()
        self.fill()

    @stateful.rule(name=names)
    def stop(self, name):
        holder = self.live(name)
        if holder is None or holder.starts_s:
            return
        holder.process.permits.stop()
        holder.process.membership.remove()
        del self.holders[name]
        self.start(name)

    @stateful.rule(name=names, followers=strategies.sets(names))
    def control_removes(self, name, followers):
        """Remove a member that has crashed, or is paused and seems dead."""
        holder = self.holders.get(name)
        if holder is not None:
            self.pause(name)
            self.advance(2.5)

        def without_member(record):
            others = {k: v for k, v in record.members.items() if k != name}
            return MembersRecord(members=others)

        self.control.records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), without_member
        )
        self.learn_members(followers)

    def learn_members(self, followers):
        """Let processes read the members record, as after a watch event."""
        for name in followers:
            if self.live(name):
                self.live(name).process.follow_members()

    @stateful.rule(name=names)
    def reclaim_from_paused(self, name):
        """Let others reclaim the portion of a paused holder; resume it."""
        if self.live(name) is None:
            return
        self.control_removes(name, set(NAMES))
        for _ in range(2):
            for other in NAMES:
                self.poll(other)
            self.advance(8.0)
        self.run_reconcilers()
        self.fill()
        self.pause_or_resume(name)
        self.acquire(name, 6)

    @stateful.rule(silent=strategies.sets(names))
    def leader_reads_list(self, silent):
        """Let the leader read the VM list without hearing some members."""
        heard = {
            name: ReceivedHeartbeat(
                heartbeat=self.live(name).process.heartbeat(), age_s=0.0
            )
            for name in NAMES
            if name not in silent and self.live(name)
        }
        self.control.follow_members()
        self.leader.step(
            self.control.members.record,
            heard,
            self.vms.vms(),
            self.clock.monotonic_s(),
        )

    @stateful.rule(silent=strategies.sets(names))
    def leader_reads_lists(self, silent):
        """Let the leader read VM lists until it may remove missing members."""
        for _ in range(4):
            self.leader_reads_list(silent)
            self.advance(8.0)

    @stateful.rule(
        name=names, delay_s=strategies.sampled_from([0.5, 8.0, 12.0])
    )
    def one_faulty_list(self, name, delay_s):
        """Show a leader that hears nobody one VM list that lacks a VM."""
        self.advance(delay_s)
        before, self.vms.shown = self.vms.shown, [
            vm
            for vm in FakeVmService((*NAMES, "control")).vms()
            if vm.name != f"vm-{name}"
        ]
        self.leader_reads_list(set(NAMES))
        self.vms.shown = None
        self.leader_reads_list(set(NAMES))
        self.vms.shown = before

    @stateful.rule(kind=strategies.sampled_from(["all", "empty", "others"]))
    def vm_list(self, kind):
        """Set the VM list: complete, empty, or with foreign VMs only."""
        if kind == "all":
            self.vms.shown = None
        elif kind == "empty":
            self.vms.shown = []
        else:
            self.vms.shown = [
                vm for vm in FakeVmService(["x"]).vms() if vm.name == "vm-x"
            ]

    def admissible_total(self):
        """Return the number of requests if all processes used all permits."""
        since_s = self.clock.now_s - LONGEST_RUN_S
        count = sum(1 for start_s in self.orphan_starts_s if start_s > since_s)
        for holder in self.holders.values():
            running = sum(1 for at_s in holder.starts_s if at_s > since_s)
            free = 0
            if not holder.process.guard.suspended():
                permits = holder.process.permits
                free = permits.portion(TEAM) - permits.running(TEAM)
            count += running + max(0, free)
        return count

    @stateful.invariant()
    def admissible_stays_below_the_limit(self):
        assert self.admissible_total() <= max(self.limit(), self.total())

    @stateful.invariant()
    def running_stays_below_the_limit(self):
        total = self.total()
        assert total <= max(self.limit(), self.last_total)
        self.last_total = total


LimitsMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
LimitsTest = LimitsMachine.TestCase
