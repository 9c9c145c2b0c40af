"""Reads the log lines that all nodes wrote during a day."""

from collections.abc import Iterable

import attrs

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.json_logs import parse_line

__all__ = ["DayLog", "JobTrace", "PoolSample", "read_day"]

# A log without these events does not cover a leader.
REQUIRED_EVENTS = ("job submitted", "pool size")
# Only a leader writes these. A killed leader does not log that its term ended.
LEADER_EVENTS = frozenset(("leader load", "run ordered", "run ended"))


@attrs.define(kw_only=True)
class JobTrace:
    """What the log tells about a job.

    :ivar submitted_s: when a node first answered a submission
    :ivar accepted_s: when it was accepted, None if it never was
    :ivar refusals: codes of the refused submissions, in order
    :ivar ended_s: when it reached its last phase, None if it never did
    :ivar shown_s: when a caller first learned of its end from the leader,
        before this was recorded, None for most jobs
    :ivar started_s: time from its first start order to its end
    :ivar step_wait_s: waits of its later steps
    :ivar run_s: longest runs of its steps
    :ivar objective_s: time in which it should have ended; this and the three
        above are None for a job that several leaders ran
    """

    job_id: str
    queue: str
    organisation: str
    submitted_s: float
    accepted_s: float | None = None
    refusals: list[str] = attrs.field(factory=list)
    ended_s: float | None = None
    shown_s: float | None = None
    phase: str = ""
    started_s: float | None = None
    step_wait_s: float | None = None
    run_s: float | None = None
    objective_s: float | None = None
    lost_runs: int = 0


@attrs.frozen(kw_only=True)
class PoolSample:
    """Size of a pool, logged about once a second by the leader.

    :ivar long_running_vms: VMs that the long-running tasks fill, 0 in the log
        of a version that did not tell
    :ivar serving_vms: VMs with long-running tasks only, likewise
    """

    time_s: float
    pool: str
    is_standby: bool
    vms: int
    idle: int
    moving: int
    running_vms: float
    demand_vms: float
    expected_vms: float
    spread_vms: int
    wanted_vms: int
    arriving_vms: float = 0.0
    long_running_vms: float = 0.0
    serving_vms: int = 0


@attrs.define(kw_only=True)
class DayLog:
    """Events of a day; times are seconds from the first submission.

    :ivar moves: time, VM, source and target of each move that was begun
    :ivar leader_gaps: periods without a leader
    :ivar store_gaps: periods in which a node had lost the store
    :ivar wave_s: length of each completed wave
    :ivar lost_lines: number of lines that the log left out
    """

    jobs: dict[str, JobTrace] = attrs.field(factory=dict)
    pool_by_queue: dict[str, str] = attrs.field(factory=dict)
    pools: list[PoolSample] = attrs.field(factory=list)
    moves: list[tuple[float, str, str, str]] = attrs.field(factory=list)
    leader_gaps: list[tuple[float, float]] = attrs.field(factory=list)
    store_gaps: list[tuple[float, float]] = attrs.field(factory=list)
    wave_s: dict[str, float] = attrs.field(factory=dict)
    lost_lines: int = 0


def read_day(lines: Iterable[str]) -> DayLog:
    """Read a day from log lines; text before the JSON object is ignored.

    :raises SettingsError: no leader wrote into the log, or it is cut short
    """
    records = [
        record
        for line in lines
        if (record := parse_line(line)) and "time_s" in record
    ]
    records.sort(key=lambda record: record["time_s"])
    for event in REQUIRED_EVENTS:
        if not any(record["event"] == event for record in records):
            raise SettingsError(f"the log has no line {event!r}")
    begin_s = next(
        record["time_s"]
        for record in records
        if record["event"] == "job submitted"
    )
    day = DayLog()
    reader = _Reader(day, begin_s)
    for record in records:
        try:
            reader.read(record)
        except KeyError as error:
            raise SettingsError(
                f"line {record['event']!r} at {record['time_s']}: field"
                f" {error} is missing"
            ) from None
    reader.close(records[-1]["time_s"] - begin_s)
    return day


class _Reader:
    """Applies log records to a day, in order of time."""

    def __init__(self, day: DayLog, begin_s: float) -> None:
        self._day = day
        self._begin_s = begin_s
        self._led_s: float | None = None
        self._store_lost_s: dict[str, float] = {}
        self._wave_seen_s: dict[str, float] = {}

    def read(self, record: dict) -> None:
        """Apply one record; other events are ignored."""
        time_s = record["time_s"] - self._begin_s
        event = record["event"]
        if event in LEADER_EVENTS:
            self._led_s = time_s
        if event == "job submitted":
            self._read_submission(record, time_s)
        elif event == "job ended":
            self._read_end(record, time_s)
        elif event == "job shown by the leader":
            job = self._day.jobs.get(record["job"])
            if job is not None and job.shown_s is None:
                job.shown_s = time_s
        elif event == "pool size":
            self._read_pool(record, time_s)
        elif event == "vm ordered":
            if record["what"] == "move" and record["outcome"] == "begun":
                self._day.moves.append(
                    (time_s, record["vm"], record["pool"], record["to"])
                )
        elif event == "leading":
            if self._led_s is not None:
                self._day.leader_gaps.append((self._led_s, time_s))
            self._led_s = time_s
        elif event == "store lost":
            self._store_lost_s.setdefault(record["node"], time_s)
        elif event == "store regained":
            self._end_store_gap(record["node"], time_s)
        elif event == "wave seen":
            self._wave_seen_s.setdefault(record["wave"], time_s)
        elif event == "wave completed":
            seen_s = self._wave_seen_s.get(record["wave"], time_s)
            self._day.wave_s.setdefault(record["wave"], time_s - seen_s)
        elif event == "lines left out":
            self._day.lost_lines += record["count"]

    def close(self, end_s: float) -> None:
        """End the periods that are open at the end of the log."""
        for node in list(self._store_lost_s):
            self._end_store_gap(node, end_s)

    def _read_submission(self, record: dict, time_s: float) -> None:
        self._day.pool_by_queue[record["queue"]] = record["pool"]
        job = self._day.jobs.setdefault(
            record["job"],
            JobTrace(
                job_id=record["job"],
                queue=record["queue"],
                organisation=record["organisation"] or "",
                submitted_s=time_s,
            ),
        )
        if record["outcome"] != "accepted":
            job.refusals.append(record["outcome"])
        elif job.accepted_s is None:
            job.accepted_s = time_s

    def _read_end(self, record: dict, time_s: float) -> None:
        job = self._day.jobs.get(record["job"])
        if job is None:
            return
        job.ended_s, job.phase = time_s, record["phase"]
        job.lost_runs = record["lost_runs"]
        job.started_s = _seconds(record["started_ms"])
        job.step_wait_s = _seconds(record["step_wait_ms"])
        job.run_s = _seconds(record["run_ms"])
        job.objective_s = _seconds(record["objective_ms"])

    def _read_pool(self, record: dict, time_s: float) -> None:
        self._day.pools.append(
            PoolSample(
                time_s=time_s,
                pool=record["pool"],
                is_standby=record["standby"],
                vms=record["vms"],
                idle=record["idle"],
                moving=record["moving"],
                running_vms=record["running_vms"],
                demand_vms=record["demand_vms"],
                expected_vms=record["expected_vms"],
                spread_vms=record["spread_vms"],
                wanted_vms=record["wanted_vms"],
                arriving_vms=record.get("arriving_vms", 0.0),
                long_running_vms=record.get("long_running_vms", 0.0),
                serving_vms=record.get("serving_vms", 0),
            )
        )

    def _end_store_gap(self, node: str, time_s: float) -> None:
        since_s = self._store_lost_s.pop(node, None)
        if since_s is not None:
            self._day.store_gaps.append((since_s, time_s))


def _seconds(time_ms: int | None) -> float | None:
    return None if time_ms is None else time_ms / 1000
