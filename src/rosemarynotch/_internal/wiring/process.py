"""What every member process has: clients, views, membership, exchange."""

import random
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.admission.permits import Permits
from rosemarynotch._internal.configuration import CatchUp
from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.configuration import Follower
from rosemarynotch._internal.configuration import Freshness
from rosemarynotch._internal.configuration import Membership
from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.configuration import PauseGuard
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import VM_UNKNOWN
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.peers import Exchange
from rosemarynotch._internal.reference import HttpStore
from rosemarynotch._internal.reference import HttpTaskService
from rosemarynotch._internal.reference import HttpVmService
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["MemberProcess", "MemberSettings"]

START_RETRY_S = 1.0
STOP_RETRY_S = 0.5
# A stop during an outage of the store leaves the portions and the member
# row behind; rule R2 reclaims them.
STOP_ATTEMPTS = 10

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class MemberSettings:
    """Settings that entry and control share."""

    name: str
    incarnation: str
    kind: MemberKind
    vm: str
    vm_instance: str
    data_centre: str
    store: str
    vm_service: str
    task_service: str
    peer_listen: str
    operator_listen: str = ""


class MemberProcess:
    """The parts that follow the store and talk to the other members.

    The peer address is bound before the member registers, which proves that
    an earlier process with the same address has ended (rule R2).
    """

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random()
        self.metrics = Metrics()
        store = HttpStore(settings.store, self.clock)
        self.vms = HttpVmService(settings.vm_service, self.clock)
        self.tasks = HttpTaskService(settings.task_service, self.clock)
        self.records = RecordStore(store, self.clock, self.rng)
        self.in_force = ConfigInForce()
        self.fleet = FleetView()
        self.members = MembersView()
        self.freshness = Freshness(self.clock, self.members, settings.name)
        self.follower = Follower(
            self.records,
            self.in_force,
            self.fleet,
            self.members,
            self.freshness,
            self.clock,
        )
        self.guard = PauseGuard(self.clock)
        self._stopping = threading.Event()

    def run(
        self,
        stopping: threading.Event,
        build: Callable[[Member], None],
        serve: Callable[[], None],
        stop: Callable[[], None],
    ) -> int:
        """Bind, register and serve until the event is set.

        :param build: makes the parts that need the member
        :returns: the exit status
        """
        threading.Thread(
            target=self._pass_on, args=(stopping,), daemon=True
        ).start()
        me = self.bind()
        if isinstance(me, Failure):
            return 0
        build(me)
        if self.register() is not None:
            return 0
        self.start()
        serve()
        stopping.wait()
        stop()
        _log.notice("stopped")
        return 0

    def make_permits(self, me: Member, claims_fair_portion: bool) -> Permits:
        """Make the portions of this process and connect them.

        :param claims_fair_portion: whether to claim fair parts without being
            short
        """
        permits = Permits(
            self.records,
            me,
            self.in_force,
            self.members,
            self.guard,
            self.clock,
            self.rng,
            self.exchange.send_limit_changed,
            claims_fair_portion,
        )
        self.membership.add_listener(permits.restart)
        self.guard.add_revalidation(permits.revalidate)
        self.exchange.add_heartbeat_listener(permits.record_heartbeat)
        self.exchange.add_limit_listener(permits.handle_limit_changed)
        return permits

    def bind(self) -> Member | Failure:
        """Bind the peer address and return this member.

        :returns: the member, or the failure that was last when the process
            was told to stop before its VM instance was known
        :raises SettingsError: if the address cannot be bound
        """
        instance = self.settings.vm_instance or self._retry(
            self._listed_instance
        )
        if isinstance(instance, Failure):
            return instance
        settings = self.settings
        me = Member(
            name=settings.name,
            kind=settings.kind,
            incarnation=settings.incarnation,
            vm=settings.vm,
            vm_instance=instance,
            data_centre=settings.data_centre,
            peer_address=settings.peer_listen,
            operator_address=settings.operator_listen,
        )
        self.exchange = Exchange(me, self.members, self.clock, self.metrics)
        me = attrs.evolve(me, peer_address=self.exchange.bind())
        self.membership = Membership(self.records, self.members, me)
        self.catch_up = CatchUp(
            self.in_force,
            self.follower.refresh_config,
            self.exchange.fetch_document,
        )
        self.exchange.set_document_source(self.catch_up.document_answer)
        self.exchange.add_heartbeat_listener(self.catch_up.record_heartbeat)
        self.exchange.add_heartbeat_listener(self._record_contact)
        self.guard.add_revalidation(self.membership.revalidate)
        self.guard.set_removal_check(self.membership.is_removed)
        return me

    def register(self) -> None | Failure:
        """Register this member, again until the store takes it.

        :returns: None, or the failure that was last when the process was
            told to stop
        """
        return self._retry(self.membership.register)

    def start(self) -> None:
        """Start the threads that follow the store and the peers."""
        self.follower.refresh()
        self.follower.start()
        self.catch_up.start()
        self.guard.start()
        self.exchange.start()

    def _record_contact(self, heartbeat: Heartbeat) -> None:
        """Note a heartbeat for rule R6 unless this process is behind.

        Contact that was heard does not make an older document fresh.
        """
        if heartbeat.config_version <= self.in_force.current.version:
            self.freshness.record_heartbeat(heartbeat)

    def _pass_on(self, stopping: threading.Event) -> None:
        """End a start that waits for the platform."""
        stopping.wait()
        self._stopping.set()

    def stop(self, give_back: Callable[[], bool]) -> None:
        """Give back portions, leave the members and end the threads.

        :param give_back: returns whether all portions were given back
        """
        for _ in range(STOP_ATTEMPTS):
            if give_back() and self.membership.remove() is None:
                break
            self.clock.sleep(STOP_RETRY_S)
        self.guard.stop()
        self.catch_up.stop()
        self.follower.stop()
        self.exchange.stop()

    def _retry(self, call: Callable):
        """Repeat a call until it succeeds or the process has to stop."""
        result = call()
        while isinstance(result, Failure):
            _log.notice("cannot start yet", reason=result.reason)
            if self._stopping.wait(START_RETRY_S):
                return result
            result = call()
        return result

    def _listed_instance(self) -> str | Failure:
        listed = self.vms.vms()
        if isinstance(listed, Failure):
            return listed
        for vm in listed:
            if vm.name == self.settings.vm:
                return vm.instance
        return VM_UNKNOWN.with_reason(f"{self.settings.vm} is not listed")
