"""Sends the leader's commands to the workers."""

from concurrent.futures import ThreadPoolExecutor
import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import RUN_NO_TICKET
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.exceptions import WORKER_UNREACHABLE
from rosemarynotch._internal.scheduling.order_queue import OrderKind
from rosemarynotch._internal.scheduling.order_queue import OrderQueue
from rosemarynotch._internal.scheduling.order_queue import QueuedOrder
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.policy import PaceChange
from rosemarynotch._internal.scheduling.ports import Pacing
from rosemarynotch._internal.scheduling.ports import StartOrder
from rosemarynotch._internal.scheduling.worker_link import WorkerLink

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["Command", "OrderSender"]

# Concurrent calls to workers. A call whose answer is lost occupies its thread
# until it times out, and must not delay the commands of a load peak.
ORDER_THREADS = 48

Command = StartCommand | StopCommand | PaceChange


class OrderSender:
    """Sends commands to workers and posts the answers to the scheduler."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._threads = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self._lock = threading.Lock()
        self._queue: OrderQueue[Command] = OrderQueue()
        self._busy_count = 0
        self._longest_wait_s = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of queued commands."""
        return self._queue.waiting_count

    def take_longest_wait_s(self) -> float:
        """Return the longest time in the queue since the last call."""
        with self._lock:
            longest_s, self._longest_wait_s = self._longest_wait_s, 0.0
        return longest_s

    def submit(self, command: Command) -> None:
        """Queue a command to be sent as soon as its worker's lane is free."""
        now_s = self._controller.clock.monotonic_s()
        worker_id = command.worker.worker_id
        with self._lock:
            self._queue.put(worker_id, _kind(command), command, now_s)
        self._start_threads()

    def close(self) -> None:
        """Discard the queued commands."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _start_threads(self) -> None:
        with self._lock:
            while self._busy_count < ORDER_THREADS:
                queued = self._queue.take()
                if queued is None:
                    return
                try:
                    self._threads.submit(self._send_queued, queued)
                except RuntimeError:
                    # The term has ended, which discards all commands.
                    return
                self._busy_count += 1

    def _send_queued(self, queued: QueuedOrder[Command]) -> None:
        is_unanswered = False
        try:
            waited_s = self._controller.clock.monotonic_s() - (
                queued.queued_at_s
            )
            self._controller.metrics.record_ms("order_wait", waited_s * 1000)
            with self._lock:
                self._longest_wait_s = max(self._longest_wait_s, waited_s)
            is_unanswered = self.send(queued.order)
        finally:
            with self._lock:
                self._busy_count -= 1
                self._queue.release(queued.worker_id, is_unanswered)
            self._start_threads()

    def send(self, command: Command) -> bool:
        """Send a command unless the term has ended or it is needless.

        :returns: whether it was sent and had no answer
        """
        if not self._is_permitted(command):
            return False
        link = self._controller.link(command.worker.worker_id)
        if link is None:
            self._withhold(command)
            return False
        is_needed, order = self._prepare(command)
        if not is_needed:
            return False
        try:
            return self._send(command, order, link)
        except Exception as error:
            # An answer that cannot be decoded does not tell whether the
            # command took effect.
            self._controller.log(
                "order failed",
                task=str(command.run.task.task_id),
                worker=command.worker.worker_id,
                error=repr(error),
            )
            failure = WORKER_UNREACHABLE.with_reason(
                repr(error)
            ).with_ran_unknown()
            self._post_answer(command, failure, link)
            return True

    def _is_permitted(self, command: Command) -> bool:
        if isinstance(command, StartCommand):
            return self._controller.may_start
        return self._controller.is_running

    def _prepare(self, command: Command) -> tuple[bool, StartOrder | None]:
        """Check a command against the present state, right before it is sent.

        The lock excludes the scheduling thread. A run counts as sent from
        here on, so whatever that thread decides later is followed by a stop.

        :returns: whether the command is needed, and the order if it is a start
        """
        controller, run, order = self._controller, command.run, None
        with controller.lock:
            now_s = controller.clock.monotonic_s()
            if isinstance(command, StartCommand):
                is_needed = command.is_current(
                    now_s
                ) and controller.evacuations.is_fresh(now_s)
                run.is_sent |= is_needed
                if is_needed:
                    order = self._make_order(command)
            else:
                is_needed = run.is_sent and self._applies_to(command)
        if not is_needed:
            self._withhold(command)
        return is_needed, order

    def _withhold(self, command: Command) -> None:
        """Tell the scheduler that a start or a stop is not sent."""
        controller, run = self._controller, command.run
        controller.metrics.count("orders_withheld")
        if isinstance(command, PaceChange):
            return
        controller.post(
            lambda now_s: controller.scheduler.on_order_withheld(run)
        )

    def _applies_to(self, command: StopCommand | PaceChange) -> bool:
        """Tell whether a worker's run is the one that a command was meant for.

        It may have been dropped and adopted again. A stop of a run that was
        only dropped is sent, as it makes late start orders harmless.
        """
        run = command.run
        worker = self._controller.scheduler.workers.get(run.worker_id)
        known = worker.runs.get(run.key) if worker else None
        return known is run or (
            known is None and isinstance(command, StopCommand)
        )

    def _make_order(self, command: StartCommand) -> StartOrder:
        """Return the order for a start; a repetition has the same lease."""
        run, worker, task = command.run, command.worker, command.run.task
        if not run.lease_until_ms:
            run.lease_until_ms = self._controller.extend_lease(
                worker, worker.clock
            )
        return StartOrder(
            task=task.task_id,
            run=run.number,
            payload=task.step.occurrence.job.submission.spec.payload,
            lease_until_worker_ms=run.lease_until_ms,
            checkpoint=run.checkpoint,
            ticket=command.ticket,
            repeats=run.start_count,
            worker_started_unix_ms=worker.started_unix_ms,
        )

    def _send(
        self, command: Command, order: StartOrder | None, link: WorkerLink
    ) -> bool:
        if order is not None:
            answer = self._send_start(command, order, link)
        elif isinstance(command, StopCommand):
            answer = self._send_stop(command, link)
        else:
            answer = self._send_pace(command, link)
        self._controller.check_fence(answer)
        self._post_answer(command, answer, link)
        return isinstance(answer, Failure) and answer.ran is not Ran.NO

    def _post_answer(
        self,
        command: Command,
        answer: int | None | Failure,
        link: WorkerLink,
    ) -> None:
        """Pass the answer to a start or a stop to the scheduling thread."""
        scheduler, run = self._controller.scheduler, command.run
        if isinstance(command, StartCommand):
            self._controller.post(
                lambda now_s: scheduler.on_start_answer(
                    run, _judge(answer, link), now_s
                )
            )
        elif isinstance(command, StopCommand):
            self._controller.post(
                lambda now_s: scheduler.on_stop_answer(run, answer, now_s)
            )

    def _send_start(
        self, command: StartCommand, order: StartOrder, link: WorkerLink
    ) -> int | Failure:
        worker = command.worker
        job = command.run.task.step.occurrence.job
        command.run.start_count += 1
        started_s = self._controller.clock.monotonic_s()
        answer = link.channel.start(self._controller.grant.fence, order)
        now_s = self._controller.clock.monotonic_s()
        is_answered = not isinstance(answer, Failure) or answer.ran is Ran.NO
        self._controller.answer_losses.note(
            worker.worker_id, is_answered, now_s
        )
        if is_answered:
            self._controller.order_timeout.record(now_s - started_s)
        if isinstance(answer, Failure) and answer.is_a(RUN_NO_TICKET):
            self._drop_ticket(command, now_s)
        outcome = answer.code if isinstance(answer, Failure) else "started"
        self._controller.metrics.count(
            "starts", queue=job.submission.queue, how=outcome
        )
        self._controller.metrics.record_ms(
            "start_call", (now_s - started_s) * 1000
        )
        self._controller.log(
            "run ordered",
            job=job.job_id,
            task=str(order.task),
            run=order.run,
            worker=worker.worker_id,
            pool=worker.entry.pool,
            term=self._controller.grant.term,
            outcome=outcome,
            why=answer.reason if isinstance(answer, Failure) else "",
        )
        return answer

    def _drop_ticket(self, command: StartCommand, now_s: float) -> None:
        """Drop and log a ticket that a worker has refused."""
        worker = command.worker
        age_s = self._controller.advice.reject(
            command.run, command.ticket, now_s
        )
        self._controller.log(
            "ticket refused",
            task=str(command.run.task.task_id),
            worker=worker.worker_id,
            ticket_age_s=None if age_s is None else round(age_s, 3),
            worker_age_s=round(
                self._controller.clock.wall_s()
                - worker.started_unix_ms / 1000,
                3,
            ),
        )

    def _send_pace(
        self, change: PaceChange, link: WorkerLink
    ) -> None | Failure:
        run = change.run
        pacing = Pacing(
            task=run.task.task_id, run=run.number, percent=change.percent
        )
        answer = link.channel.pace(self._controller.grant.fence, pacing)
        self._controller.log(
            "run paced",
            task=str(pacing.task),
            worker=run.worker_id,
            percent=change.percent,
            outcome=answer.code if answer else "paced",
        )
        return answer

    def _send_stop(
        self, command: StopCommand, link: WorkerLink
    ) -> None | Failure:
        run = command.run
        answer = link.channel.stop(
            self._controller.grant.fence,
            run.task.task_id,
            run.number,
            run.stop_count,
        )
        run.stop_count += 1
        self._controller.log(
            "run stop ordered",
            task=str(run.task.task_id),
            run=run.number,
            worker=command.worker.worker_id,
            outcome=answer.code if answer else "stopping",
            why=answer.reason if answer else "",
        )
        return answer


def _judge(answer: int | Failure, link: WorkerLink) -> int | Failure:
    """Return what the answer to a start says about its worker.

    Another worker at a former address has done nothing with the order, but
    does not show that the worker has ended.
    """
    is_replaced = isinstance(answer, Failure) and answer.is_a(WORKER_REPLACED)
    if is_replaced and not link.is_current:
        return WORKER_UNREACHABLE.with_reason("former address")
    return answer


def _kind(command: Command) -> OrderKind:
    if isinstance(command, StopCommand):
        return OrderKind.STOP
    if isinstance(command, StartCommand):
        return OrderKind.REPEAT if command.run.is_resent else OrderKind.START
    return OrderKind.PACE
