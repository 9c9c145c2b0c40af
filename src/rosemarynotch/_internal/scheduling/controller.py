"""Threads of the leader, which drive the scheduler and its I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import threading

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RUN_FENCED
from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.advice_requester import AdviceRequester
from rosemarynotch._internal.scheduling.answer_losses import AnswerLosses
from rosemarynotch._internal.scheduling.ended_term import EndedTerm
from rosemarynotch._internal.scheduling.evacuation import ServingTaskMover
from rosemarynotch._internal.scheduling.evacuation_feed import EvacuationFeed
from rosemarynotch._internal.scheduling.event_queue import Event
from rosemarynotch._internal.scheduling.event_queue import EventQueue
from rosemarynotch._internal.scheduling.fleet_manager import FleetManager
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.intake_feed import IntakeFeed
from rosemarynotch._internal.scheduling.job_loader import JobLoader
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.leader_query import CompletedJob
from rosemarynotch._internal.scheduling.leadership import Grant
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.load_report import LoadReport
from rosemarynotch._internal.scheduling.load_report import read_last_turns
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.order_sender import Command
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policies import ControllerPorts
from rosemarynotch._internal.scheduling.policies import SchedulingPolicies
from rosemarynotch._internal.scheduling.policy import OrderTimeout
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.unstarted_jobs import UnstartedJobs
from rosemarynotch._internal.scheduling.worker_feed import WorkerFeed
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from rosemarynotch._internal.scheduling.workers import Worker
from rosemarynotch._internal.scheduling.workers import WorkerClock
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.json_logs import describe_error
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["Controller"]

# Lease on the runs of a worker. It must exceed the time of a leader change
# (LEASE_TTL_MS of the leadership plus the start of the new leader), but be
# short, as the tasks of an unreachable worker start elsewhere only after it.
LEASE_S = 5.0
# Without the store, tasks start only on workers whose lease lasts this long.
MIN_DETACHED_LEASE_S = 2.0
# A scheduling pass waits for events at most PASS_INTERVAL_S, and passes are at
# least MIN_PASS_INTERVAL_S apart.
PASS_INTERVAL_S = 0.05
MIN_PASS_INTERVAL_S = 0.008
# Pause after each pass as a multiple of its duration. It leaves processor
# time to the threads that communicate with workers.
PASS_PAUSE_FACTOR = 1.0
# Interval for repeating unanswered starts and for ordering stops.
RECONCILE_INTERVAL_S = 0.05
RETRY_S = 0.1


class Controller:
    """Runs one term of the leader.

    :param configuration: returns the newest configuration, None before one
        has been read
    :param longest_lease_s: longest lease that an earlier leader may have
        granted to a worker
    :param last_term: newest term in which this process led, None if it has not
    :param job_memory: bounds the memory for jobs, by default that of a node on
        the smallest machine
    :ivar lock: guards the scheduler's state
    """

    def __init__(
        self,
        grant: Grant,
        leadership: Leadership,
        ports: ControllerPorts,
        configuration: Callable[[], Configuration | None],
        clock: Clock,
        metrics: Metrics,
        log: Callable[..., None],
        fleet_timing: FleetTiming,
        policies: SchedulingPolicies,
        longest_lease_s: float = LEASE_S,
        last_term: EndedTerm | None = None,
        job_memory: JobMemory | None = None,
    ) -> None:
        self.grant = grant
        self.leadership = leadership
        self.ports = ports
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.lock = threading.RLock()
        self.stop = threading.Event()
        self.scheduler = Scheduler(
            grant.term, grant.fence, longest_lease_s, log
        )
        self.scheduler.memory = job_memory or JobMemory()
        self.advice = AdviceCache()
        self.answer_losses = AnswerLosses()
        self.order_timeout = OrderTimeout()
        self.unstarted = UnstartedJobs(self)
        self.completion = policies.make_check()
        self.scheduler.blames_steps = self.completion.blames_steps
        self.planner = Planner(
            self.scheduler,
            policies.order,
            policies.placer,
            self.advice,
            log,
            policies.sharing,
            self.unstarted.may_start,
            self.completion,
        )
        self._policies = policies
        self.forecast = policies.make_forecast(())
        self._load_report = LoadReport(log, metrics)
        self._reconciled_at_s = 0.0
        # Time of the last pass during which no other leader could exist.
        self._led_at_s = 0.0
        self._feed: IntakeFeed | None = None
        self.writer = ProgressWriter(self)
        self._sender = OrderSender(self)
        self._last_term = last_term
        self._lease_lock = threading.Lock()
        self._is_granting = True
        self._configuration = configuration
        self._fleet_timing = fleet_timing
        self._events = EventQueue()
        self.worker_feed = WorkerFeed(self)
        self.mover = ServingTaskMover(self)
        self.evacuations = EvacuationFeed(self)

    @property
    def is_running(self) -> bool:
        """Return whether the term lasts, so that orders may be given."""
        return not self.stop.is_set() and self.leadership.holds(self.grant)

    @property
    def is_detached(self) -> bool:
        """Return whether the term has ended as the store does not answer.

        Then tasks may still be started, but nothing else may be ordered.
        """
        return not self.stop.is_set() and self.leadership.is_detached(
            self.grant
        )

    @property
    def may_start(self) -> bool:
        """Return whether tasks may be started."""
        return self.is_running or self.is_detached

    def find_completed(self, job_id: str) -> CompletedJob | None:
        """Return a job if the store has recorded that it is completed.

        What a caller was shown must survive the loss of every node and of
        every worker, so the memory of this node is not enough.
        """
        job = self.scheduler.find_ended(job_id)
        if job is None or job.phase is not Phase.COMPLETED:
            return None
        return CompletedJob(job_id, job.organisation, job.queue)

    def record_hint(self, keys: Iterable[str]) -> None:
        """Pass a hint about written intake keys to the intake feed."""
        if self._feed is not None:
            self._feed.record_hint(keys)

    def post(self, event: Event) -> None:
        """Queue a callback for the scheduling thread; it gets the time."""
        self._events.post(event)

    def run(self) -> EndedTerm:
        """Run the term until the grant ends."""
        self._guard(self._lead)
        self._close()
        with self._lease_lock:
            self._is_granting = False
        with self.lock:
            now_s = self.clock.monotonic_s()
            lease_ends_s = self.scheduler.lease_ends_s(now_s)
        return EndedTerm(term=self.grant.term, lease_ends_s=lease_ends_s)

    def known_lease_ends_s(self) -> Mapping[str, float] | None:
        """Return when the leases of earlier leaders end, None if unknown."""
        if self._last_term is None:
            return None
        return self._last_term.known_lease_ends_s(self.grant.term)

    def _lead(self) -> None:
        feed = self._feed = IntakeFeed(self)
        if not self._retry(self.worker_feed.load_roster):
            return
        if not self._retry(self.unstarted.load):
            return
        self.scheduler.unstarted_ids = self.unstarted.inherited
        if not self._retry(feed.load):
            return
        turns = read_last_turns(self.ports.store, self.log)
        self.forecast = self._policies.make_forecast(turns)
        # Read last, so that the first starts follow the newest requests.
        if not self._retry(self.evacuations.load):
            return
        self.log(
            "leading",
            term=self.grant.term,
            jobs=len(self.scheduler.jobs),
            active=len(self.scheduler.active),
            roster=len(self.scheduler.workers),
        )
        self.start_thread(feed.run, "intake-feed")
        self.start_thread(feed.run_hints, "intake-hints")
        self.start_thread(JobLoader(self, feed).run, "job-loader")
        self.start_thread(self.worker_feed.run, "worker-list")
        self.start_thread(self.writer.run, "progress-writer")
        self.start_thread(self.unstarted.run, "unstarted-jobs")
        if self.evacuations.is_enabled:
            self.start_thread(self.evacuations.run, "evacuations")
        if self.ports.fleet is not None:
            sizer = self._policies.make_sizer(self.grant.term == 1)
            manager = FleetManager(
                self,
                sizer,
                self._fleet_timing,
                self._policies.make_rates(),
                self._policies.make_reserve(),
            )
            self.start_thread(manager.run, "fleet")
        if self.ports.advisor is not None:
            requester = AdviceRequester(
                self.advice,
                self.ports.advisor,
                self.clock,
                lambda: self.is_running,
                self.post,
                self.log,
                self.metrics,
                lambda worker_id: self.scheduler.accepts_work(
                    worker_id, self.clock.monotonic_s()
                ),
            )
            self.start_thread(requester.run, "advice")
        while self.is_running:
            self._pass()
        if self.is_detached:
            self.log("leading without the store", term=self.grant.term)
        while self.is_detached:
            self._pass()

    def _guard(self, target: Callable[[], None]) -> None:
        """Run a thread's function; an unexpected error ends the term.

        A leader with a failed thread would otherwise keep its leadership, and
        no other node could replace it.
        """
        try:
            target()
        except Exception as error:
            self.log("leading failed", **describe_error(error))
            self.leadership.step_down(self.grant, "unexpected error")

    def start_thread(self, target: Callable[[], None], name: str) -> None:
        """Run a function in a thread whose failure ends the term."""
        threading.Thread(
            target=self._guard, args=(target,), name=name, daemon=True
        ).start()

    def _retry(self, load: Callable[[], bool]) -> bool:
        while self.is_running:
            if load():
                return True
            self.clock.sleep(RETRY_S)
        return False

    def _close(self) -> None:
        self.stop.set()
        self.worker_feed.list_now.set()
        self._sender.close()
        self.evacuations.close()
        self._load_report.close()
        self.log("not leading", term=self.grant.term)

    def _pass(self) -> None:
        events = self._events.take(PASS_INTERVAL_S)
        started_s = self.clock.monotonic_s()
        with self.lock:
            now_s = self.clock.monotonic_s()
            self.scheduler.configuration = (
                self._configuration() or self.scheduler.configuration
            )
            for event in events:
                self._apply(event, now_s)
            commands = self._plan(now_s)
        for command in commands:
            self._sender.submit(command)
        self.writer.wake()
        took_s = self.clock.monotonic_s() - started_s
        self._load_report.record_pass(took_s, len(events), len(commands))
        self._load_report.write(
            self.scheduler,
            self._sender.waiting,
            self._sender.take_longest_wait_s,
            started_s + took_s,
        )
        self.clock.sleep(
            max(MIN_PASS_INTERVAL_S - took_s, took_s * PASS_PAUSE_FACTOR)
        )

    def _apply(self, event: Event, now_s: float) -> None:
        """Apply an event; one that fails is logged and dropped.

        An event carries input from one worker, caller or list. The next
        leader would get the same input, so it must not end the term.
        """
        try:
            event(now_s)
        except Exception as error:
            self.log("event failed", **describe_error(error))

    def _plan(self, now_s: float) -> list[Command]:
        scheduler = self.scheduler
        wall_ms = self.clock.wall_s() * 1000
        is_fresh = self.evacuations.is_fresh(now_s)
        if not self.is_running:
            if not (self.is_detached and is_fresh):
                return []
            # Another leader may have extended leases since the last pass
            # of the term.
            return list(
                self.planner.place(
                    now_s, wall_ms, MIN_DETACHED_LEASE_S, self._led_at_s
                )
            )
        self._led_at_s = now_s
        for worker_id in scheduler.expire_workers(now_s):
            self.worker_feed.close_link(worker_id)
        commands: list[Command] = []
        if now_s - self._reconciled_at_s >= RECONCILE_INTERVAL_S:
            self._reconciled_at_s = now_s
            self.mover.move_from_evacuated(now_s)
            commands += self.planner.reconcile_runs(now_s)
        if is_fresh:
            commands += self.planner.place(now_s, wall_ms)
        workers = list(scheduler.workers.values())
        for change in self._policies.pacer.plan(workers, now_s):
            change.run.pace_percent = change.percent
            commands.append(change)
        return commands

    def extend_lease(self, worker: Worker, clock: WorkerClock) -> int:
        """Extend a worker's lease; return its end on the worker's clock.

        A leader that is detached does not extend it: the next leader counts
        on its end. It repeats the lease that it granted last, not the longer
        one that it assumes of earlier leaders when it first hears a worker.
        """
        # Read before the permission is checked. If the process is suspended
        # between the two, the lease still counts from its own term.
        now_s = self.clock.monotonic_s()
        is_same_clock = (
            clock.started_unix_ms == worker.started_unix_ms
            or not worker.clock_received_at_s
        )
        # No lease may be recorded after the end of the term was noted.
        with self._lease_lock:
            if not (self._is_granting and self.is_running):
                return worker.granted_until_ms if is_same_clock else 0
            until_ms = clock.lease_end_ms(now_s, LEASE_S)
            # Recorded before the order is sent, as an order without an answer
            # may still be carried out. Leases by the clock of an incarnation
            # whose first report was not applied yet are bounded when it is.
            if is_same_clock:
                worker.granted_until_ms = max(
                    worker.granted_until_ms, until_ms
                )
                worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    def check_fence(self, answer: object) -> None:
        """End the term if an answer shows a later leader's fence."""
        if isinstance(answer, Failure) and answer.is_a(RUN_FENCED):
            self.leadership.step_down(
                self.grant, "a worker has a higher fence"
            )

    def link(self, worker_id: str) -> WorkerLink | None:
        """Return the link to a worker, None if there is none."""
        return self.worker_feed.link(worker_id)
