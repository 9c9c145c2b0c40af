"""Common parts of member processes, such as clients, views and exchange."""

import random
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.admission.permits import Permits
from rosemarynotch._internal.configuration import ConfigFetcher
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
from rosemarynotch._internal.utils.request_budget import DEFAULT_MEMORY_MB
from rosemarynotch._internal.wiring.limits import make_budget

__all__ = ["MemberProcess", "MemberSettings"]

START_RETRY_DELAY_S = 1.0
STOP_RETRY_DELAY_S = 0.5
# After this number of attempts, a stop during an outage of the store leaves
# portions and the member in the records. Other members reclaim them (rule R2).
STOP_ATTEMPTS = 10

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class MemberSettings:
    """Settings common to entries and control processes."""

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
    """Parts that follow the store and communicate with other members.

    The peer address is bound before the member registers. This proves that
    an earlier process with the same address has ended (rule R2).

    :ivar budget: counts the requests and messages that this process holds
    """

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random()
        self.metrics = Metrics()
        self.budget = make_budget(
            DEFAULT_MEMORY_MB, self.metrics, _log.warning
        )
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

        :param build: creates the parts that depend on the member
        :param serve: starts serving
        :param stop: stops serving and ends the threads
        :returns: the exit status
        """
        threading.Thread(
            target=self._forward_stop, args=(stopping,), daemon=True
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
        """Create the permits of this process and register their callbacks.

        :param claims_fair_portion: whether to claim a fair portion even
            without requests waiting for a permit
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

        :returns: the member, or the last failure if the process was told to
            stop before the instance of its VM was known
        :raises SettingsError: if the address cannot be bound
        """
        instance = self.settings.vm_instance or self._retry(
            self._find_vm_instance
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
        self.exchange = Exchange(
            me,
            self.members,
            self.clock,
            self.metrics,
            budget=self.budget,
        )
        me = attrs.evolve(me, peer_address=self.exchange.bind())
        self.membership = Membership(self.records, self.members, me)
        self.config_fetcher = ConfigFetcher(
            self.in_force,
            self.follower.refresh_config,
            self.exchange.fetch_document,
        )
        self.exchange.set_document_source(self.config_fetcher.document_answer)
        self.exchange.add_heartbeat_listener(
            self.config_fetcher.record_heartbeat
        )
        self.exchange.add_heartbeat_listener(self._record_contact)
        self.guard.add_revalidation(self.membership.revalidate)
        self.guard.set_removal_check(self.membership.is_removed)
        return me

    def register(self) -> None | Failure:
        """Register this member, and retry until that succeeds.

        :returns: None, or the last failure if the process was told to stop
        """
        return self._retry(self.membership.register)

    def start(self) -> None:
        """Start the threads that follow the store and the peers."""
        self.follower.refresh()
        self.follower.start()
        self.config_fetcher.start()
        self.guard.start()
        self.exchange.start()

    def _record_contact(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat for rule R6 unless it has a newer version.

        A contact reported by a member with a newer configuration does not
        show that the older one of this process is still in force.
        """
        if heartbeat.config_version <= self.in_force.current.version:
            self.freshness.record_heartbeat(heartbeat)

    def _forward_stop(self, stopping: threading.Event) -> None:
        """End the retries of a start when the process is told to stop."""
        stopping.wait()
        self._stopping.set()

    def stop(self, release_portions: Callable[[], bool]) -> None:
        """Release portions, remove this member and end the threads.

        :param release_portions: releases the portions and returns whether
            all of them were released
        """
        for _ in range(STOP_ATTEMPTS):
            if release_portions() and self.membership.remove() is None:
                break
            self.clock.sleep(STOP_RETRY_DELAY_S)
        self.guard.stop()
        self.config_fetcher.stop()
        self.follower.stop()
        self.exchange.stop()

    def _retry(self, call: Callable):
        """Repeat a call until it succeeds or the process is told to stop.

        :returns: the result of the last call
        """
        result = call()
        while isinstance(result, Failure):
            _log.notice("cannot start yet", reason=result.reason)
            if self._stopping.wait(START_RETRY_DELAY_S):
                return result
            result = call()
        return result

    def _find_vm_instance(self) -> str | Failure:
        listed = self.vms.vms()
        if isinstance(listed, Failure):
            return listed
        for vm in listed:
            if vm.name == self.settings.vm:
                return vm.instance
        return VM_UNKNOWN.with_reason(
            f"VM {self.settings.vm} is not in the list of the platform"
        )
