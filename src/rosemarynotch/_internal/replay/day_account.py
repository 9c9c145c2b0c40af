"""Says why jobs of a day were late, and what its VMs were used for."""

from collections.abc import Callable
from collections.abc import Iterable
from collections import Counter
import math
import statistics

from rosemarynotch._internal.replay.day_log import DayLog
from rosemarynotch._internal.replay.day_log import JobTrace
from rosemarynotch._internal.replay.vm_account import format_vm_account

__all__ = ["format_account", "late_causes"]

# Share of a wait that an outage has to cover to count as its cause.
OUTAGE_SHARE = 0.4

Period = tuple[float, float]


def late_causes(day: DayLog) -> dict[str, str]:
    """Return the cause by job for all jobs that were not in time.

    Jobs that were cancelled or had not ended are left out. A job that several
    leaders ran is compared with the usual objective of its queue.
    """
    causes = {}
    objectives_s = _objectives_s(day)
    for job in day.jobs.values():
        cause = _cause(job, day, objectives_s.get(job.queue, math.inf))
        if cause:
            causes[job.job_id] = cause
    return causes


def _objectives_s(day: DayLog) -> dict[str, float]:
    """Return the median objective of the jobs of each queue."""
    known: dict[str, list[float]] = {}
    for job in day.jobs.values():
        if job.objective_s is not None:
            known.setdefault(job.queue, []).append(job.objective_s)
    return {queue: statistics.median(each) for queue, each in known.items()}


def _cause(job: JobTrace, day: DayLog, usual_objective_s: float) -> str:
    if job.accepted_s is None:
        return f"refused: {job.refusals[-1]}"
    if job.phase == "failed":
        return "failed"
    if job.phase != "completed":
        return ""
    took_s = job.ended_s - job.submitted_s
    known_s = took_s
    if job.shown_s is not None:
        known_s = min(took_s, job.shown_s - job.submitted_s)
    if job.objective_s is None:
        # Parts of it were run by an earlier leader.
        return "change of the leader" if known_s > usual_objective_s else ""
    if known_s <= job.objective_s:
        return ""
    start_wait_s = took_s - job.started_s
    run_excess_s = job.started_s - job.step_wait_s - job.run_s
    if job.refusals and job.accepted_s - job.submitted_s > took_s / 3:
        return "refused at first"
    waits = {
        "start": start_wait_s,
        "later steps": job.step_wait_s,
        "runs lost" if job.lost_runs else "slow runs": max(0.0, run_excess_s),
    }
    longest = max(waits, key=waits.__getitem__)
    period = (job.submitted_s, job.ended_s - job.run_s)
    if longest == "start":
        period = (job.submitted_s, job.ended_s - job.started_s)
    if _covered(period, day.store_gaps) > OUTAGE_SHARE:
        return "store away"
    if _covered(period, day.leader_gaps) > OUTAGE_SHARE:
        return "no leader"
    if longest in ("start", "later steps"):
        return f"{longest}: {_pool_state(job, period, day)}"
    return longest


def _covered(period: Period, gaps: Iterable[Period]) -> float:
    """Return the largest share of a period that one of the gaps covers."""
    begin_s, end_s = period
    length_s = max(end_s - begin_s, 1e-3)
    return max(
        (
            (min(end_s, gap_end_s) - max(begin_s, gap_begin_s)) / length_s
            for gap_begin_s, gap_end_s in gaps
        ),
        default=0.0,
    )


def _pool_state(job: JobTrace, period: Period, day: DayLog) -> str:
    """Say what kept a job's tasks from starting during a period."""
    pool = day.pool_by_queue.get(job.queue)
    samples = [
        sample
        for sample in day.pools
        if period[0] - 1 <= sample.time_s <= period[1] + 1
    ]
    own = [sample for sample in samples if sample.pool == pool]
    if not own:
        return "no VM known"
    if any(sample.moving for sample in own):
        return "VMs under way"
    if any(sample.idle for sample in own):
        return "idle VMs in the pool"
    idle = sum(
        sample.idle
        for sample in samples
        if sample.pool != pool and not sample.is_standby
    )
    if idle:
        return "full, VMs idle elsewhere"
    if any(sample.idle for sample in samples if sample.is_standby):
        return "full, VMs on standby"
    return "all VMs full"


def format_account(day: DayLog) -> str:
    """Return the account of a day as text."""
    causes = late_causes(day)
    lines = [f"{len(day.jobs)} jobs, {len(causes)} not in time"]
    if day.lost_lines:
        lines.append(f"the log left out {day.lost_lines} lines of events")
    lines += _table("cause", causes, lambda job: causes[job.job_id], day)
    lines += _table("queue", causes, lambda job: job.queue, day)
    lines += _table("organisation", causes, lambda job: job.organisation, day)
    lines += _table(
        "from second",
        causes,
        lambda job: f"{2 * int(job.submitted_s // 2):3d}",
        day,
    )
    lines += format_vm_account(day)
    lines += [
        f"wave {wave}: {length_s:.1f} s"
        for wave, length_s in sorted(day.wave_s.items())
    ]
    return "\n".join(lines)


def _table(
    title: str,
    causes: dict[str, str],
    name: Callable[[JobTrace], str],
    day: DayLog,
) -> list[str]:
    jobs = [day.jobs[job_id] for job_id in causes]
    counts = Counter(name(job) for job in jobs)
    rows = sorted(counts.items(), key=lambda row: (-row[1], row[0]))
    if title == "from second":
        rows = sorted(counts.items())
    return [title, *(f"  {key:40} {count:5d}" for key, count in rows)]
