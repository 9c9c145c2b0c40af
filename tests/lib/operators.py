"""The operators' API of one entry, in the process of a test."""

import io
import json
import random

import attrs

from rosemarynotch._internal.admission.jobs import JobIntake
from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.configuration import Follower
from rosemarynotch._internal.configuration import Freshness
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.control import operations
from rosemarynotch._internal.models.jobs import job_id_of
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.jobs import table_key
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.operators import ConfigChanges
from rosemarynotch._internal.operators.keys import format_setting
from rosemarynotch._internal.operators import MetricsCollector
from rosemarynotch._internal.operators import Observer
from rosemarynotch._internal.operators import OperatorApp
from rosemarynotch._internal.operators import OperatorKeys
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.metrics import Metrics
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.stores import MemoryStore

__all__ = ["OPERATOR_KEY", "OperatorPort"]

OPERATOR_KEY, OPERATOR_SPEC = make_key("anna", "k1")


class OperatorPort:
    """The WSGI application of one entry and a store in memory.

    :param core: key-value store to use, a new one by default
    :param is_trial: whether documents may be tried in the environment
    :param peers: responses of other entries to requests for metrics, by name
    """

    def __init__(self, core=None, is_trial=True, peers=None) -> None:
        self.peers = peers or {}
        clock = ManualClock()
        self.store = MemoryStore(core or KeyValue())
        records = RecordStore(self.store, clock, random.Random(1))
        self.in_force, self.fleet = ConfigInForce(), FleetView()
        members = MembersView()
        freshness = Freshness(clock, members, "entry-1")
        self.follower = Follower(
            records, self.in_force, self.fleet, members, freshness, clock
        )
        self.records, self.metrics = records, Metrics()
        self.jobs = JobIntake(records, self.in_force, "entry-1.i", clock)
        me = Member(
            name="entry-1",
            kind=MemberKind.ENTRY,
            incarnation="i",
            vm="vm-1",
            vm_instance="v",
            data_centre="d",
            peer_address="p",
        )
        vms = {name: _vm(name) for name in ("s-1", "s-2")}
        record = FleetRecord(vms=vms)
        listed = {
            name: attrs.evolve(me, name=name)
            for name in ("entry-1", *self.peers)
        }
        records.update(
            MEMBERS_KEY,
            MembersRecord,
            None,
            lambda _: MembersRecord(members=listed),
        )
        records.update(
            FLEET_KEY, FleetRecord, None, lambda _: record, compressed=True
        )
        observer = Observer(
            "trial",
            self.in_force,
            self.fleet,
            members,
            freshness,
            dict,
            self._heartbeat,
            clock,
        )
        self.app = OperatorApp(
            keys=OperatorKeys(format_setting("anna", OPERATOR_SPEC)),
            records=records,
            in_force=self.in_force,
            fleet=self.fleet,
            observer=observer,
            changes=ConfigChanges(records, clock, "trial"),
            operations=operations,
            jobs=self.jobs,
            metrics=self.metrics,
            collector=MetricsCollector(
                "entry-1", self.metrics, members, self.fetch_metrics
            ),
            is_trial=is_trial,
        )
        self.follow()

    def follow(self) -> None:
        """Read the records from the store, as the follower does."""
        self.follower.refresh()

    def call(self, method, path, body=None, key=OPERATOR_KEY):
        """Handle a request.

        :returns: status and body, decoded if it is JSON
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "HTTP_AUTHORIZATION": f"Bearer {key}",
            "wsgi.input": io.BytesIO(data),
        }
        seen = {}

        def start_response(status, headers):
            seen.update(headers, status=int(status.split()[0]))

        answer = b"".join(self.app(environ, start_response))
        if seen["Content-Type"] == "application/json":
            return seen["status"], json.loads(answer)
        return seen["status"], answer.decode()

    def change(self, path, number=1, **fields):
        """Request a change of operator anna.

        :param number: number in the change id
        """
        body = {"change_id": f"c{number}", "operator": "anna", "reason": "r"}
        return self.call("POST", path, {**body, **fields})

    def fetch_metrics(self, entry, timeout_s):
        """Return the response that the test has set for an entry."""
        return self.peers[entry]

    def add_job(self, team, number, state):
        """Add a job to the job table.

        :returns: the job id
        """
        job_id = job_id_of(team, str(number))
        row = JobRow(
            team=team,
            queue="q",
            cores=1,
            memory_mb=1,
            accelerators=0,
            payload="",
            idempotent=True,
            accepted_at_s=number,
            state=state,
        )
        self.records.update(
            table_key(shard_of(job_id)),
            JobShard,
            JobShard(),
            lambda shard: JobShard(jobs={**shard.jobs, job_id: row}),
            compressed=True,
        )
        return job_id

    def _heartbeat(self):
        return Heartbeat(
            sender="entry-1",
            incarnation="i",
            sequence=1,
            members_revision=1,
            config_version=self.in_force.current.version,
            fleet_revision=self.fleet.revision,
            store_age_s=0.0,
        )


def _vm(name: str) -> VmRecord:
    return VmRecord(
        pool="settlement",
        state=VmState.SERVING,
        instance="i",
        address="127.0.0.1:1",
        data_centre="fort-hall",
        rack=f"r{name[-1]}",
    )
