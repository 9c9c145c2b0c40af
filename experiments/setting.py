"""Starts stand-ins, entries and control processes for an experiment."""

import contextlib
from pathlib import Path
import random
import tempfile
import time
import uuid

import attrs
import msgspec

from demo.processes import call
from demo.processes import free_ports
from demo.processes import module
from demo.processes import Processes
from demo.processes import program
from demo.processes import run_program
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import KeySpec
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.keys import format_setting
from rosemarynotch._internal.reference import HttpStore
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.replay.load import LoadProfile
from rosemarynotch._internal.utils.clock import SystemClock

__all__ = ["Testbed", "TestbedShape"]

HOST = "127.0.0.1"
LIMIT_REQUESTS = 1_000


@attrs.frozen(kw_only=True)
class TestbedShape:
    """Sizes and settings of the processes of an experiment.

    :ivar shares: share by team
    :ivar settle_s: time for members to exchange heartbeats and divide the
        limits before anything is measured
    :ivar entry_flags: further settings of the entries, such as a baseline
    :ivar cut_entries: number of entries that reach the platform through a
        separate port, for which the store can be made unavailable
    """

    shares: dict[str, float]
    pools: tuple[str, ...] = ("pool",)
    vms_per_pool: int = 6
    slots: int = 8
    entries: int = 6
    controls: int = 1
    urgent_reserve_slots: int = 0
    limits: dict[str, int] = attrs.field(factory=dict)
    settle_s: float = 4.0
    entry_flags: dict[str, object] = attrs.field(factory=dict)
    cut_entries: int = 0


class Testbed:
    """Context manager that runs the processes of an experiment."""

    def __init__(self, shape: TestbedShape) -> None:
        self.shape = shape
        self._stack = contextlib.ExitStack()
        directory = tempfile.TemporaryDirectory(prefix="rosemarynotch-")
        self._directory = Path(self._stack.enter_context(directory))
        self.processes = Processes(self._directory)
        self.keys: dict[str, str] = {}

    def __enter__(self):
        shape = self.shape
        self._ports = iter(
            free_ports(
                len(shape.pools) * (shape.vms_per_pool + 1)
                + 3 * shape.entries
                + shape.controls
                + 2
            )
        )
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.processes.stop("entry")
        self.processes.stop()
        self._stack.close()

    def run_load(self, profile: LoadProfile, seed: int) -> dict:
        """Send load to all entries and return the figures of the run."""
        return self._replay(profile, seed, f"--entries={self.callers}")

    def run_direct(self, profile: LoadProfile, seed: int) -> dict:
        """Send load directly to the targets (baseline); return the figures."""
        return self._replay(profile, seed, f"--direct={self.target_listen}")

    def set_store_fault(self, outage: str) -> None:
        """Set the state of the store for the entries on the separate port.

        :param outage: ``up``, or an outage that the stand-in supports
        """
        port = self.cut_platform.rpartition(":")[2]
        call(self.platform, f"/faults?port={port}", {"store": outage})

    def stats(self) -> dict:
        """Return the counters of the platform stand-in."""
        return call(self.platform, "/stats")

    def _replay(self, profile, seed, address_flag) -> dict:
        profile_file = self._directory / "profile.json"
        results = self._directory / "figures.json"
        keys = self._directory / "keys.json"
        profile_file.write_bytes(msgspec.json.encode(profile))
        keys.write_bytes(msgspec.json.encode(self.keys))
        text = run_program(
            "rosemarynotch-replay",
            address_flag,
            f"--keys={keys}",
            f"--load={profile_file}",
            f"--seed={seed}",
            f"--results={results}",
            check=False,
        )
        if not results.exists():
            raise RuntimeError(text)
        return msgspec.json.decode(results.read_bytes())

    def _start(self) -> None:
        shape = self.shape
        addresses = self._start_targets()
        self.target_listen = ",".join(addresses.values())
        rows = [{"name": f"vm-{n}"} for n in range(shape.entries)]
        rows += [{"name": name, "address": a} for name, a in addresses.items()]
        fleet = self._directory / "fleet.json"
        fleet.write_bytes(msgspec.json.encode(rows))
        self.platform, self.cut_platform = self._address(), self._address()
        self.processes.start(
            "platform",
            module("standins.platform"),
            listen=f"{self.platform},{self.cut_platform}",
            fleet=fleet,
        )
        self._wait_for("platform", self.platform)
        self._apply()
        self._start_members()
        time.sleep(shape.settle_s)

    def _start_targets(self) -> dict[str, str]:
        """Start a process of targets per pool and return addresses by VM."""
        addresses = {}
        for pool in self.shape.pools:
            pool_addresses = {
                f"{pool}-{n}": self._address()
                for n in range(self.shape.vms_per_pool)
            }
            admin = self._address()
            self.processes.start(
                f"targets-{pool}",
                module("standins.target"),
                listen=",".join(pool_addresses.values()),
                admin_listen=admin,
                slots=self.shape.slots,
            )
            self._wait_for(f"targets-{pool}", admin)
            addresses |= pool_addresses
        return addresses

    def _start_members(self) -> None:
        shape = self.shape
        self.operator_key, operator = make_key("operator", "k")
        setting = format_setting("operator", operator)
        callers, operators = {}, {}
        for n in range(shape.entries):
            name = f"entry-{n}"
            operators[name] = self._address()
            callers[name] = self._address()
            self.processes.start(
                name,
                program("rosemarynotch-entry"),
                **self._member_flags(name, n),
                caller_listen=callers[name],
                operator_listen=operators[name],
                operator_keys=setting,
                balancer_notice_s=0.1,
                **shape.entry_flags,
            )
        for n in range(shape.controls):
            name = f"control-{n}"
            self.processes.start(
                name,
                program("rosemarynotch-control"),
                **self._member_flags(name, n),
            )
        for name, address in callers.items():
            self._wait_for(name, address)
        self.callers = ",".join(callers.values())
        self.caller_addresses = list(callers.values())
        self.operators = list(operators.values())

    def _member_flags(self, name: str, number: int) -> dict[str, str]:
        is_cut = name.startswith("entry") and number < self.shape.cut_entries
        platform = self.cut_platform if is_cut else self.platform
        return {
            "name": name,
            "vm": f"vm-{number}",
            "data_centre": "Gent",
            "store": platform,
            "vm_service": platform,
            "task_service": platform,
            "peer_listen": self._address(),
        }

    def _apply(self) -> None:
        self.document = self._document()
        self.apply(self.document)

    def apply(self, document: Document, is_announced: bool = True) -> int:
        """Put a document in force and return its version.

        :param is_announced: whether members are notified at once; otherwise
            they have to discover the change on their own
        """
        clock = SystemClock()
        store = HttpStore(self.platform, clock)
        records = RecordStore(store, clock, random.Random(1))
        if not is_announced:
            records.bump_head = lambda **_: None
        changes = ConfigChanges(records, clock, "experiment")
        pointer = changes.pointer()
        change = Change(
            change_id=uuid.uuid4().hex,
            operator="experiment",
            reason="experiment",
            expected_version=pointer.current.version if pointer else 0,
        )
        accepted = changes.apply(document, change)
        if isinstance(accepted, Failure):
            raise RuntimeError(accepted.reason)
        return accepted.version

    def _document(self) -> Document:
        shape = self.shape
        teams = tuple(
            TeamSpec(
                name=name,
                share=share,
                limit_requests=shape.limits.get(name, LIMIT_REQUESTS),
                keys=(self._make_key(name),),
            )
            for name, share in shape.shares.items()
        )
        pools = tuple(
            PoolSpec(
                name=pool,
                kind=PoolKind.SERVICE,
                min_available_vms=shape.vms_per_pool - 1,
                urgent_reserve_slots=shape.urgent_reserve_slots,
                vms=tuple(
                    VmSpec(
                        name=f"{pool}-{n}",
                        data_centre="Gent",
                        rack=f"r{n // 4}",
                        slots=shape.slots,
                    )
                    for n in range(shape.vms_per_pool)
                ),
            )
            for pool in shape.pools
        )
        queues = tuple(
            QueueSpec(name=f"{pool}{suffix}", pool=pool, urgent=bool(suffix))
            for pool in shape.pools
            for suffix in ("", "-urgent")
        )
        return Document(pools=pools, teams=teams, queues=queues)

    def _make_key(self, team: str) -> KeySpec:
        self.keys[team], spec = make_key(team, "k1")
        return spec

    def _address(self) -> str:
        return f"{HOST}:{next(self._ports)}"

    def _wait_for(self, name: str, address: str) -> None:
        self.processes.wait_for_port(name, int(address.rpartition(":")[2]))
