"""Generates the traces of the demonstration.

Run as ``python -m traces.generate kochi > traces/kochi.jsonl``.
"""

import random
import sys

import attrs
import msgspec

from rosemarynotch._internal.replay.trace import JobWork
from rosemarynotch._internal.replay.trace import TraceRow

__all__ = ["ENVIRONMENTS", "generate", "to_lines"]

LENGTH_MS = 25_000.0
REQUESTS_PER_SERVICE = 120
# The services peak one after another, each for a fifth of the time at about
# five times its mean load; off-peak load is a twentieth of the mean.
OFF_PEAK_FRACTION = 0.05
ENTRY_WEIGHTS = (0.5, 0.3, 0.2)
KEYED_FRACTION = 0.6
REPEAT_DELAY_MS = 300.0
SHORT_DEADLINE_FRACTION = 0.05
SHORT_DEADLINE_MS = 900
ORDINARY_JOBS = 30
LONG_JOBS = 2
LONG_JOB_MS = 6_000.0
# Jobs are submitted before this time, so that they, like requests, end before
# the time-out of the wave.
LAST_JOB_MS = 16_000.0


@attrs.frozen(kw_only=True)
class Service:
    """Requests to one service; its queue has the same name.

    :ivar open_team: team of a queue that accepts requests without a key,
        empty for other queues
    :ivar urgent_fraction: fraction of the requests for the urgent queue
    """

    name: str
    method: str
    work_ms: float
    worth: float
    answer_bytes: int
    idempotent: bool
    open_team: str = ""
    urgent_fraction: float = 0.0


@attrs.frozen(kw_only=True)
class Environment:
    """An environment.

    :ivar teams: relative number of requests by team
    :ivar workers: name of the pool that runs the jobs
    """

    services: tuple[Service, ...]
    teams: dict[str, int]
    workers: str
    seed: int


def _service(name, method, work_ms, worth, answer_bytes=200, **fields):
    return Service(
        name=name,
        method=method,
        work_ms=work_ms,
        worth=worth,
        answer_bytes=answer_bytes,
        idempotent=method != "POST",
        **fields,
    )


ENVIRONMENTS = {
    "kochi": Environment(
        services=(
            _service("settlement", "POST", 380.0, 5.0, urgent_fraction=0.05),
            _service("posting", "POST", 360.0, 3.0),
            _service("reconciliation", "PUT", 400.0, 2.0),
            _service("statements", "GET", 350.0, 1.0, 20_000),
            _service("reporting", "GET", 420.0, 1.0, 60_000),
        ),
        teams={
            "aluva-traders": 6,
            "vypin-fishers": 5,
            "angamaly-growers": 2,
            "kalady-weavers": 1,
            "munambam-savers": 1,
            "paravur-potters": 1,
        },
        workers="reckoners",
        seed=11,
    ),
    "flanders": Environment(
        services=(
            _service("quotes", "GET", 340.0, 1.0, 4_000, open_team="web-shop"),
            _service("reservations", "PUT", 360.0, 2.0),
            _service("orders", "POST", 400.0, 5.0, urgent_fraction=0.05),
            _service("van-plans", "PUT", 420.0, 2.0, 30_000),
            _service("accounts", "GET", 350.0, 1.0, 8_000),
        ),
        teams={
            "gent-shop": 6,
            "brugge-shop": 4,
            "aalst-depot": 3,
            "web-shop": 2,
            "dispatch": 1,
            "bookkeeping": 1,
        },
        workers="planners",
        seed=12,
    ),
}


def generate(name: str) -> list[TraceRow]:
    """Return the trace of an environment in order of sending."""
    environment = ENVIRONMENTS[name]
    rng = random.Random(environment.seed)
    rows = []
    for index, service in enumerate(environment.services):
        for number in range(REQUESTS_PER_SERVICE):
            row = _request(environment, service, number, rng)
            offset_ms = _offset_ms(index, len(environment.services), rng)
            rows.append(attrs.evolve(row, offset_ms=round(offset_ms, 1)))
    rows += _repeats(rows, rng)
    rows += _refusals(environment, rng)
    rows += _jobs(environment, random.Random(environment.seed + 100))
    return sorted(rows, key=lambda row: (row.offset_ms, row.request_id))


def to_lines(rows: list[TraceRow]) -> bytes:
    """Return the content of a trace file."""
    return b"".join(msgspec.json.encode(_fields(row)) + b"\n" for row in rows)


def _fields(row: TraceRow) -> dict:
    """Return the fields of a row, without ``job`` for a request."""
    fields = msgspec.to_builtins(row)
    if row.job is None:
        del fields["job"]
    return fields


def _offset_ms(index: int, count: int, rng: random.Random) -> float:
    """Return a random time, mostly within the peak of the service.

    :param index: index of the service in the order of peaks
    """
    peak_ms = LENGTH_MS / count
    if rng.random() < OFF_PEAK_FRACTION * (count - 1) / count:
        at_ms = rng.uniform(0.0, LENGTH_MS - peak_ms)
        return at_ms if at_ms < index * peak_ms else at_ms + peak_ms
    return index * peak_ms + rng.uniform(0.0, peak_ms)


def _request(environment, service, number, rng) -> TraceRow:
    names, weights = zip(*environment.teams.items(), strict=True)
    team = service.open_team or rng.choices(names, weights)[0]
    urgent = rng.random() < service.urgent_fraction
    request_id = f"{service.name}-{number}"
    keyed = service.method == "POST" and rng.random() < KEYED_FRACTION
    short = service.idempotent and rng.random() < SHORT_DEADLINE_FRACTION
    return TraceRow(
        request_id=request_id,
        offset_ms=0.0,
        service=service.name,
        queue=service.name + ("-urgent" if urgent else ""),
        team=team,
        key="" if service.open_team else team,
        method=service.method,
        idempotent=service.idempotent,
        work_ms=round(service.work_ms * rng.uniform(0.7, 1.3), 1),
        worth=service.worth,
        entry=_entry(rng),
        outcome="answered-or-late" if short else "answered",
        idempotency_key=f"key-{request_id}" if keyed else "",
        deadline_ms=SHORT_DEADLINE_MS if short else 0,
        answer_bytes=service.answer_bytes,
    )


def _entry(rng: random.Random) -> int:
    return rng.choices(range(len(ENTRY_WEIGHTS)), ENTRY_WEIGHTS)[0]


def _repeats(rows: list[TraceRow], rng: random.Random) -> list[TraceRow]:
    """Return repeats of keyed requests, each to another entry.

    A caller that lost its connection repeats a request with the same
    idempotency key and has to get the answer of the first run.
    """
    keyed = [row for row in rows if row.idempotency_key]
    return [
        attrs.evolve(
            row,
            offset_ms=round(row.offset_ms + REPEAT_DELAY_MS, 1),
            entry=(row.entry + 1) % len(ENTRY_WEIGHTS),
            retry=True,
        )
        for row in rng.sample(keyed, 12)
    ]


def _refusals(environment, rng: random.Random) -> list[TraceRow]:
    """Return requests that have to be refused."""
    cases = (
        ("wrong-key", {"key": "wrong"}, "refused:key-invalid"),
        ("withdrawn-key", {"key": "withdrawn"}, "refused:key-withdrawn"),
        ("no-key", {"key": ""}, "refused:key-missing"),
        ("unknown-queue", {"queue": "nowhere"}, "refused:queue-unknown"),
    )
    services = [each for each in environment.services if not each.open_team]
    rows = []
    for name, fields, outcome in cases:
        for entry in range(len(ENTRY_WEIGHTS)):
            service = rng.choice(services)
            row = _request(environment, service, 0, rng)
            rows.append(
                attrs.evolve(
                    row,
                    request_id=f"{name}-{entry}",
                    offset_ms=round(rng.uniform(0.0, LENGTH_MS), 1),
                    entry=entry,
                    outcome=outcome,
                    idempotency_key="",
                    deadline_ms=0,
                    **fields,
                )
            )
    return rows


def _jobs(environment: Environment, rng: random.Random) -> list[TraceRow]:
    """Return jobs, some of which run while the wave drains their worker.

    The last three outcomes require a cancellation or a failing task: a job
    that fails may run again only if it is idempotent.
    """
    rows = [
        _job(environment, rng, f"batch-{number}", idempotent=number % 2 == 1)
        for number in range(ORDINARY_JOBS)
    ]
    first = attrs.evolve(rows[0], idempotency_key=f"key-{rows[0].request_id}")
    rows[0] = first
    rows.append(
        attrs.evolve(
            first,
            offset_ms=round(first.offset_ms + REPEAT_DELAY_MS, 1),
            entry=(first.entry + 1) % len(ENTRY_WEIGHTS),
            retry=True,
        )
    )
    # Both workers drain while these run. The drain waits for the former jobs
    # and moves the latter, which are idempotent, to another worker.
    for name, idempotent in (("long", False), ("moved", True)):
        for number in range(LONG_JOBS):
            row = _job(environment, rng, f"{name}-{number}", idempotent)
            at_ms = round(rng.uniform(0.0, 500.0), 1)
            row = attrs.evolve(row, offset_ms=at_ms, work_ms=LONG_JOB_MS)
            rows.append(row)
    cases = (
        ("too-large", False, "refused:job-too-large", {"cores": 1_000.0}),
        ("cancelled", False, "ended:cancelled", {"cancel_ms": 3_000.0}),
        ("fails-once", True, "ended:done", {"fail_count": 1}),
        ("fails", False, "ended:failed", {"fail_count": 1}),
    )
    for name, idempotent, outcome, fields in cases:
        row = _job(environment, rng, name, idempotent)
        rows.append(
            attrs.evolve(
                row,
                outcome=outcome,
                job=attrs.evolve(row.job, **fields),
                work_ms=60_000.0 if "cancel_ms" in fields else row.work_ms,
            )
        )
    return rows


def _job(environment, rng, request_id, idempotent) -> TraceRow:
    names, weights = zip(*environment.teams.items(), strict=True)
    team = rng.choices(names, weights)[0]
    return TraceRow(
        request_id=request_id,
        offset_ms=round(rng.uniform(0.0, LAST_JOB_MS), 1),
        service=environment.workers,
        queue="batches",
        team=team,
        key=team,
        method="POST",
        idempotent=idempotent,
        work_ms=round(rng.uniform(500.0, 2_500.0), 1),
        worth=1.0,
        entry=_entry(rng),
        outcome="ended:done",
        job=JobWork(cores=2.0, memory_mb=4_096),
    )


if __name__ == "__main__":
    sys.stdout.buffer.write(to_lines(generate(sys.argv[1])))
