"""Checks jobs and limits of a run against the stand-ins' ledgers."""

from collections import Counter
from collections import defaultdict

import attrs

from rosemarynotch._internal.models.document import Document

__all__ = ["check_jobs", "check_limits", "describe_job", "Drain"]

# Tolerance for a start that was in transit when the worker began to drain.
START_DELAY_S = 0.5
DONE = "ended:done"


@attrs.frozen
class Drain:
    """Time for which a wave took a worker out of service.

    :ivar from_s: CLOCK_MONOTONIC time when it was first seen not serving
    :ivar until_s: CLOCK_MONOTONIC time when it was last seen not serving
    """

    worker: str
    from_s: float
    until_s: float


def check_jobs(
    results: list[dict], events: list[dict], drains: list[Drain]
) -> list[str]:
    """Compare the outcomes of jobs with the tasks that ran.

    :param results: decoded result lines of the replay tool
    :param events: ledger of the platform
    :param drains: observed drains of workers
    :returns: descriptions of the problems found
    """
    jobs = [each for each in results if each["job"]]
    tasks = _tasks(events)
    problems = _check_repeats(jobs)
    accepted = {each["job_id"]: each for each in jobs if each["job_id"]}
    for job_id, result in accepted.items():
        problems += [
            f"{result['request_id']}: {problem}"
            for problem in _check_job(result, tasks.pop(job_id, []))
        ]
    problems += [f"{job_id}: task without an accepted job" for job_id in tasks]
    return problems + _check_drains(events, drains)


def _tasks(events) -> dict[str, list[dict]]:
    """Return the starts and ends of tasks by job, in order of time."""
    tasks = defaultdict(list)
    for event in sorted(events, key=lambda event: event["at_s"]):
        if event["kind"] in ("task-start", "task-end"):
            tasks[event["task"].rpartition(".")[0]].append(event)
    return dict(tasks)


def _check_repeats(jobs) -> list[str]:
    """Check that repeats of a submission got the same job id."""
    ids = defaultdict(set)
    for each in jobs:
        ids[each["request_id"]].add(each["job_id"])
    return [
        f"{request_id}: {len(found)} jobs"
        for request_id, found in ids.items()
        if len(found) > 1
    ]


def _check_job(result, events) -> list[str]:
    """Compare the outcome of an accepted job with the runs of its tasks."""
    starts = [each["worker"] for each in events if each["kind"] != "task-end"]
    ends = Counter(
        each["state"] for each in events if each["kind"] == "task-end"
    )
    problems = []
    if len(starts) > 1 and not result["idempotent"]:
        problems.append(f"started {len(starts)} times")
    if len(starts) > ends.total():
        problems.append("a task has no end")
    if not result["code"].startswith("ended:"):
        problems.append(f"accepted, but {result['code']}")
    if ends["done"] != (result["code"] == DONE):
        problems.append(f"{result['code']}, but {ends['done']} tasks done")
    if ends["failed"] != result["fail_count"]:
        problems.append(f"{ends['failed']} tasks failed")
    if ends["lost"]:
        problems.append("a task was interrupted")
    return problems


def _check_drains(events, drains) -> list[str]:
    """Check that no task started on a worker during its drain."""
    return [
        f"{drain.worker}: task started during a drain"
        for drain in drains
        for event in events
        if event["kind"] == "task-start"
        and event["worker"] == drain.worker
        and drain.from_s + START_DELAY_S < event["at_s"] < drain.until_s
    ]


def check_limits(
    results: list[dict],
    requests: list[dict],
    events: list[dict],
    document: Document,
) -> list[str]:
    """Check each team's requests and tasks together against its limit.

    :param results: decoded result lines of the replay tool
    :param requests: requests in the ledger of the targets
    :param events: ledger of the platform
    :returns: descriptions of the problems found
    """
    teams = {each["job_id"]: each["team"] for each in results if each["job"]}
    changes = defaultdict(list)
    for request in requests:
        changes[request["team"]] += [
            (request["start_s"], 1),
            (request["end_s"], -1),
        ]
    for job_id, tasks in _tasks(events).items():
        for event in tasks:
            step = 1 if event["kind"] == "task-start" else -1
            changes[teams.get(job_id, "")].append((event["at_s"], step))
    problems = []
    for team in document.teams:
        running = peak = 0
        # Of a start and an end at the same time, the end counts first.
        for _, step in sorted(changes[team.name]):
            running += step
            peak = max(peak, running)
        if peak > team.limit_requests:
            limit = team.limit_requests
            problems.append(f"{team.name}: {peak} at once, limit {limit}")
    return problems


def describe_job(results: list[dict], events: list[dict]) -> list[str]:
    """Return lines that describe one job from submission to answer."""
    tasks = _tasks(events)
    result = next((each for each in results if each["job_id"] in tasks), None)
    if result is None:
        return []
    lines = [
        f"job {result['request_id']} of {result['team']}",
        f"  id {result['job_id']}",
        f"  accepted after {result['accepted_ms']:.0f} ms",
    ]
    first_s = tasks[result["job_id"]][0]["at_s"]
    for event in tasks[result["job_id"]]:
        state = event.get("state", "started")
        after_ms = (event["at_s"] - first_s) * 1000
        lines.append(
            f"  task .{event['task'].rpartition('.')[2]} {state} on"
            f" {event['worker']}, +{after_ms:.0f} ms"
        )
    lines.append(
        f"  answer {result['code']} after {result['latency_ms']:.0f} ms"
    )
    return lines
