"""Stateful test of configuration versions over several processes (P10)."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rosemarynotch._internal import configuration
from rosemarynotch._internal.exceptions import PEER_UNREACHABLE
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.reference.records import CONFIG_KEY
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.fleet import heartbeat
from tests.lib.fleet import limit_document
from tests.lib.fleet import member
from tests.lib.fleet import pointer
from tests.lib.fleet import Process
from tests.lib.stores import Fault

NAMES = ("a", "b", "c")
names = strategies.sampled_from(NAMES)


class OlderStore:
    """Answers reads of the pointer with an earlier one, on demand."""

    def __init__(self, store):
        self._store = store
        self.older = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    def get(self, key):
        """Read a value, perhaps an earlier one."""
        if key == CONFIG_KEY and self.older is not None:
            return self.older
        return self._store.get(key)


class VersionsMachine(stateful.RuleBasedStateMachine):
    """Processes that learn versions from the store and from each other."""

    def __init__(self):
        super().__init__()
        clock = ManualClock()
        core = KeyValue(lambda: clock.now_s)
        self.processes = {}
        self.followers = {}
        self.catch_ups = {}
        for name in NAMES:
            process = Process(core, clock, member(name))
            process.records.store = OlderStore(process.store)
            follower = configuration.Follower(
                process.records,
                process.in_force,
                configuration.FleetView(),
                process.members,
                configuration.Freshness(clock, process.members, name),
                clock,
            )
            self.processes[name] = process
            self.followers[name] = follower
            self.catch_ups[name] = configuration.CatchUp(
                process.in_force, follower.refresh_config, self.fetch
            )
        self.clock = clock
        self.core = core
        self.versions = [None]
        self.seen = dict.fromkeys(NAMES, 0)

    def fetch(self, name, version):
        if self.processes[name].store.fault is Fault.DOWN:
            return PEER_UNREACHABLE
        return self.catch_ups[name].document_answer(version)

    @stateful.rule(readers=strategies.sets(names))
    def accept_new_version(self, readers):
        version = len(self.versions)
        encoded = codec.encode(limit_document({"t": version}))
        digest = configuration.document_digest(encoded)
        self.core.put(configuration.document_key(digest), encoded, 0)
        self.versions.append(digest)
        entry = self.core.get(CONFIG_KEY)
        data = codec.encode(pointer(version, digest))
        self.core.put(CONFIG_KEY, data, entry.revision if entry else 0)
        for name in sorted(readers):
            self.refresh(name)

    @stateful.rule(name=names)
    def follow(self, name):
        self.clock.advance(1)
        self.followers[name].step(watch_ms=0)

    @stateful.rule(name=names)
    def refresh(self, name):
        self.followers[name].refresh()

    @stateful.rule(sender=names, receiver=names)
    def beat(self, sender, receiver):
        version = self.processes[sender].in_force.current.version
        news = heartbeat(sender, config_version=version)
        self.catch_ups[receiver].record_heartbeat(news)
        self.catch_ups[receiver].step()
        if self.processes[sender].store.fault is Fault.NONE:
            known = self.processes[receiver].in_force.current.version
            assert known >= version

    @stateful.rule(name=names, fault=strategies.sampled_from(list(Fault)))
    def store_fault(self, name, fault):
        self.processes[name].store.fault = fault

    @stateful.rule(name=names)
    def store_is_behind(self, name):
        store = self.processes[name].records.store
        store.older = None if store.older else self.core.get(CONFIG_KEY)

    @stateful.invariant()
    def versions_go_forward(self):
        for name, process in self.processes.items():
            current = process.in_force.current
            assert current.version >= self.seen[name]
            self.seen[name] = current.version
            if current.version:
                assert current.digest == self.versions[current.version]
                limit = current.document.team("t").limit_requests
                assert limit == current.version


VersionsMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
VersionsTest = VersionsMachine.TestCase
