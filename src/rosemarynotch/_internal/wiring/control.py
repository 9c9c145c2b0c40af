"""Composition of a control process."""

import threading

import attrs
import logbook

from rosemarynotch._internal.control.jobs import JobController
from rosemarynotch._internal.control.leadership import Leadership
from rosemarynotch._internal.control.loop import ControlLoop
from rosemarynotch._internal.control.loop import FleetSources
from rosemarynotch._internal.control.loop import Policies
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.moves import MovePolicy
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.moves import ThresholdMoves
from rosemarynotch._internal.policy.placement import LearnedSizeSpread
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.policy.waves import OneAtATime
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.wiring.heartbeats import HeartbeatSource
from rosemarynotch._internal.wiring.process import MemberProcess
from rosemarynotch._internal.wiring.process import MemberSettings

__all__ = [
    "Control",
    "ControlSettings",
    "MOVE_POLICIES",
    "WAVE_POLICIES",
]

MOVE_POLICIES: dict[str, type[MovePolicy]] = {
    "none": NoMoves,
    "threshold": ThresholdMoves,
    "hysteresis": HysteresisMoves,
}
WAVE_POLICIES: dict[str, type[WavePolicy]] = {
    "one": OneAtATime,
    "many": AsManyAsAllowed,
}

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of control beyond those of every member."""

    member: MemberSettings
    move_policy: str
    wave_policy: str


class Control:
    """A control process: waves, moves, failures and jobs."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self.process = MemberProcess(settings.member)

    def run(self, stopping: threading.Event) -> int:
        """Work until the event is set; return the exit status."""
        return self.process.run(stopping, self._build, self._serve, self._stop)

    def _serve(self) -> None:
        self._permits.start()
        self._loop.start()
        _log.notice("control started")

    def _stop(self) -> None:
        self._loop.stop()
        self.process.stop(self._permits.stop)

    def _build(self, me: Member) -> None:
        process = self.process
        self._permits = process.make_permits(me, claims_fair_portion=False)
        self._permits.set_passive(True)
        holder = f"{me.name}.{me.incarnation}"
        jobs = JobController(
            process.records,
            process.tasks,
            LearnedSizeSpread(),
            self._permits,
            holder,
            process.clock,
        )
        self._loop = self._control_loop(holder, jobs)
        self._connect(jobs)

    def _control_loop(self, holder: str, jobs: JobController) -> ControlLoop:
        process = self.process
        settings = self._settings
        sources = FleetSources(
            in_force=process.in_force,
            fleet=process.fleet,
            members=process.members,
            heard=process.exchange.heard,
            vms=process.vms,
        )
        policies = Policies(
            waves=WAVE_POLICIES[settings.wave_policy](),
            moves=MOVE_POLICIES[settings.move_policy](),
        )
        return ControlLoop(
            process.records,
            sources,
            policies,
            Leadership(process.records.store, process.clock, holder),
            jobs,
            settings.member.vm,
            process.clock,
            process.rng,
        )

    def _connect(self, jobs: JobController) -> None:
        process = self.process
        exchange = process.exchange
        self._loop.add_leadership_listener(exchange.set_leading)
        self._loop.add_leadership_listener(
            lambda leads: self._permits.set_passive(not leads)
        )
        exchange.set_heartbeat_source(
            HeartbeatSource(
                process,
                tuple,
                dict,
                self._permits.short_teams,
                tuple,
                lambda: self._loop.alarms,
            )
        )
