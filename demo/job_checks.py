"""Judges jobs from outside, by the ledgers of the stand-ins."""

from collections import Counter
from collections import defaultdict

import attrs

from rosemarynotch._internal.models.document import Document

__all__ = ["check_jobs", "check_limits", "describe_job", "Drain"]

# A start that was on its way when the worker began to drain.
START_DELAY_S = 0.5
DONE = "ended:done"


@attrs.frozen
class Drain:
    """A worker that was out for the wave, on CLOCK_MONOTONIC.

    :ivar from_s: when it was first seen not serving
    :ivar until_s: when it was last seen not serving
    """

    worker: str
    from_s: float
    until_s: float


def check_jobs(
    results: list[dict], events: list[dict], drains: list[Drain]
) -> list[str]:
    """Compare what teams were told about jobs with the tasks that ran.

    :param results: lines of the replay tool
    :param events: ledger of the platform
    :returns: what is wrong, in words
    """
    jobs = [each for each in results if each["job"]]
    tasks = _tasks(events)
    problems = _check_repeats(jobs)
    accepted = {each["job_id"]: each for each in jobs if each["job_id"]}
    for job_id, told in accepted.items():
        problems += [
            f"{told['request_id']}: {problem}"
            for problem in _check_job(told, tasks.pop(job_id, []))
        ]
    problems += [f"{job_id}: task of no accepted job" for job_id in tasks]
    return problems + _check_drains(events, drains)


def _tasks(events) -> dict[str, list[dict]]:
    """Return starts and ends of tasks by job, in order of time."""
    tasks = defaultdict(list)
    for event in sorted(events, key=lambda event: event["at_s"]):
        if event["kind"] in ("task-start", "task-end"):
            tasks[event["task"].rpartition(".")[0]].append(event)
    return dict(tasks)


def _check_repeats(jobs) -> list[str]:
    """Check that repeats of a submission were told the same job."""
    ids = defaultdict(set)
    for each in jobs:
        ids[each["request_id"]].add(each["job_id"])
    return [
        f"{request_id}: {len(found)} jobs"
        for request_id, found in ids.items()
        if len(found) > 1
    ]


def _check_job(told, events) -> list[str]:
    starts = [each["worker"] for each in events if each["kind"] != "task-end"]
    ends = Counter(
        each["state"] for each in events if each["kind"] == "task-end"
    )
    problems = []
    if len(starts) > 1 and not told["idempotent"]:
        problems.append(f"started {len(starts)} times")
    if len(starts) > ends.total():
        problems.append("a task has no end")
    if not told["code"].startswith("ended:"):
        problems.append(f"accepted, but {told['code']}")
    if ends["done"] != (told["code"] == DONE):
        problems.append(f"{told['code']}, but {ends['done']} tasks done")
    if ends["failed"] != told["fail_count"]:
        problems.append(f"{ends['failed']} tasks failed")
    if ends["lost"]:
        problems.append("a task was interrupted")
    return problems


def _check_drains(events, drains) -> list[str]:
    """Check that workers got nothing while the wave had them."""
    return [
        f"{drain.worker}: task started in the drain"
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

    :param requests: from the ledger of the targets
    :param events: ledger of the platform
    :returns: what is wrong, in words
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
        running = most = 0
        # At the same moment, an end counts before a start.
        for _, step in sorted(changes[team.name]):
            running += step
            most = max(most, running)
        if most > team.limit_requests:
            limit = team.limit_requests
            problems.append(f"{team.name}: {most} at once, limit {limit}")
    return problems


def describe_job(results: list[dict], events: list[dict]) -> list[str]:
    """Return the way of one job, from its submission to its answer."""
    tasks = _tasks(events)
    told = next((each for each in results if each["job_id"] in tasks), None)
    if told is None:
        return []
    lines = [
        f"job {told['request_id']} of {told['team']}",
        f"  id {told['job_id']}",
        f"  accepted after {told['accepted_ms']:.0f} ms",
    ]
    first_s = tasks[told["job_id"]][0]["at_s"]
    for event in tasks[told["job_id"]]:
        what = event.get("state", "started")
        after_ms = (event["at_s"] - first_s) * 1000
        lines.append(
            f"  task .{event['task'].rpartition('.')[2]} {what} on"
            f" {event['worker']}, +{after_ms:.0f} ms"
        )
    lines.append(f"  answer {told['code']} after {told['latency_ms']:.0f} ms")
    return lines
