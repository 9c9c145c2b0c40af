"""Sends the leader's commands to the workers."""

from concurrent.futures import ThreadPoolExecutor
import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import WORKER_UNREACHABLE
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
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Return the number of queued commands."""
        return self._waiting

    def submit(self, command: Command) -> None:
        """Queue a command to be sent by the next free thread."""
        with self._lock:
            self._waiting += 1
        self._threads.submit(self._send_next, command)

    def close(self) -> None:
        """Discard the queued commands."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _send_next(self, command: Command) -> None:
        with self._lock:
            self._waiting -= 1
        self.send(command)

    def send(self, command: Command) -> None:
        """Send a command unless the term or the run to start has ended."""
        link = self._controller.link(command.worker.worker_id)
        if link is None or not self._controller.is_running:
            return
        if isinstance(command, StartCommand) and not command.is_current:
            # A repeated start may be queued until after its run has ended. A
            # worker that has restarted meanwhile would execute the run again.
            return
        try:
            self._send(command, link)
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
            self._post_failure(command, failure)

    def _send(self, command: Command, link: WorkerLink) -> None:
        if isinstance(command, StartCommand):
            self._send_start(command, link)
        elif isinstance(command, StopCommand):
            self._send_stop(command, link)
        else:
            self._send_pace(command, link)

    def _post_failure(self, command: Command, failure: Failure) -> None:
        scheduler, run = self._controller.scheduler, command.run
        if isinstance(command, StartCommand):
            self._controller.post(
                lambda now_s: scheduler.on_start_answer(run, failure, now_s)
            )
        elif isinstance(command, StopCommand):
            self._controller.post(
                lambda now_s: scheduler.on_stop_answer(run, failure, now_s)
            )

    def _send_start(self, command: StartCommand, link: WorkerLink) -> None:
        run, worker = command.run, command.worker
        run.lease_until_ms = (
            run.lease_until_ms
            or self._controller.extend_lease(worker, worker.clock)
        )
        task = run.task
        job = task.step.occurrence.job
        order = StartOrder(
            task=task.task_id,
            run=run.number,
            payload=job.submission.spec.payload,
            lease_until_worker_ms=run.lease_until_ms,
            checkpoint=task.checkpoint,
            ticket=command.ticket,
        )
        started_s = self._controller.clock.monotonic_s()
        answer = link.channel.start(self._controller.grant.fence, order)
        now_s = self._controller.clock.monotonic_s()
        is_answered = not isinstance(answer, Failure) or answer.ran is Ran.NO
        self._controller.answer_losses.note(
            worker.worker_id, is_answered, now_s
        )
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
            outcome=outcome,
        )
        self._controller.check_fence(answer)
        self._controller.post(
            lambda now_s: self._controller.scheduler.on_start_answer(
                run, answer, now_s
            )
        )

    def _send_pace(self, change: PaceChange, link: WorkerLink) -> None:
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
        self._controller.check_fence(answer)

    def _send_stop(self, command: StopCommand, link: WorkerLink) -> None:
        run = command.run
        answer = link.channel.stop(
            self._controller.grant.fence, run.task.task_id, run.number
        )
        self._controller.log(
            "run stop ordered",
            task=str(run.task.task_id),
            run=run.number,
            worker=command.worker.worker_id,
            outcome=answer.code if answer else "stopping",
        )
        self._controller.check_fence(answer)
        self._controller.post(
            lambda now_s: self._controller.scheduler.on_stop_answer(
                run, answer, now_s
            )
        )
