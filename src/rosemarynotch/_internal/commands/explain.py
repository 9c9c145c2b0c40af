"""The timeline of a job, selected from the log lines of all nodes."""

import fnmatch
from pathlib import Path
import sys

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.json_logs import parse_line

__all__ = ["explain", "job_timeline"]

# Log fields with the identifier of a job or of one of its tasks.
ID_FIELDS = ("job", "task")
# Events without the identifier of a job that change what a node can do. They
# are shown for all nodes if they fall between the job's first and last event.
CONTEXT_EVENTS = frozenset(
    (
        "leadership taken",
        "leadership lost",
        "leadership handed over",
        "leading",
        "leading without the store",
        "pools with unknown runs",
        "roster read",
        "roster refused",
        "not leading",
        "starting",
        "stopping",
        "stopped",
        "store lost",
        "store regained",
        "thread crashed",
        "vm service lost",
        "vm service regained",
        "lines left out",
    )
)
WORKER_EVENTS = "worker *"
HIDDEN_FIELDS = frozenset(("time_s", "event", "node", "incarnation", "job"))


def explain(job: str, *logs: str) -> int:
    """Print the log lines about a job, in order of time.

    It also prints events of the same period that concern the leadership, the
    store or the workers that ran tasks of the job.

    :param job: identifier of the job
    :param logs: log files of all nodes, standard input if none is given
    """
    lines: list[str] = []
    for name in logs:
        try:
            lines += Path(name).read_text(encoding="utf-8").splitlines()
        except OSError as error:
            raise SettingsError(f"{name}: {error.strerror}") from None
    if not logs:
        lines = sys.stdin.read().splitlines()
    found = job_timeline(job, lines)
    if not found:
        print(f"no log lines about job {job}", file=sys.stderr)
        return 1
    print("\n".join(found))
    return 0


def job_timeline(job: str, lines: list[str]) -> list[str]:
    """Return the events that concern a job as text, in order of time.

    :param lines: log lines; text before the JSON object and lines without a
        JSON object are ignored
    """
    records = [record for line in lines if (record := parse_line(line))]
    records.sort(key=lambda record: record.get("time_s", 0.0))
    own = [record for record in records if _concerns(record, job)]
    if not own:
        return []
    begin_s, end_s = own[0]["time_s"], own[-1]["time_s"]
    workers = {record["worker"] for record in own if "worker" in record}
    chosen = [
        record
        for record in records
        if _concerns(record, job)
        or (
            begin_s <= record.get("time_s", 0.0) <= end_s
            and _is_context(record, workers)
        )
    ]
    return [_format(record, begin_s) for record in chosen]


def _concerns(record: dict, job: str) -> bool:
    return any(
        str(record.get(field, "")).partition(".")[0] == job
        for field in ID_FIELDS
    )


def _is_context(record: dict, workers: set[str]) -> bool:
    event = record["event"]
    if event in CONTEXT_EVENTS:
        return True
    is_of_worker = fnmatch.fnmatch(event, WORKER_EVENTS)
    return is_of_worker and record.get("worker") in workers


def _format(record: dict, begin_s: float) -> str:
    since_s = record.get("time_s", 0.0) - begin_s
    fields = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    )
    node = record.get("node", "")
    return f"{since_s:+9.3f} s  {node:20} {record['event']}  {fields}"
