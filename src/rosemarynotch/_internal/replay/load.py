"""Generates load from closed loops of callers and open arrivals."""

import itertools
from pathlib import Path
import random
import threading
from typing import Iterator

import attrs
import msgspec

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.sending import Sender
from rosemarynotch._internal.replay.timed_sending import play
from rosemarynotch._internal.replay.trace import TraceRow
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["generate_load", "load_profile", "LoadClass", "LoadProfile"]


@attrs.frozen(kw_only=True)
class LoadClass:
    """Requests of one team to one queue.

    Either ``callers`` send requests one after the other (closed loop), or
    requests arrive at ``rate_per_s`` regardless of the outcome of earlier
    ones (open loop, exponential intervals).

    :ivar entry_weights: relative frequency with which entries are chosen
    :ivar spread: fraction of the mean work time that is exponentially
        distributed; the rest is constant
    :ivar pause_ms: pause of a caller after a request without an answer
    """

    service: str
    queue: str
    team: str
    share: float
    work_ms: float
    worth: float = 1.0
    callers: int = 0
    rate_per_s: float = 0.0
    entry_weights: tuple[float, ...] = ()
    spread: float = 0.0
    idempotent: bool = True
    deadline_ms: int = 0
    answer_bytes: int = 0
    pause_ms: float = 50.0
    limit_requests: int = 0


@attrs.frozen(kw_only=True)
class LoadProfile:
    """Classes of requests and the duration of a run.

    :ivar warm_up_s: answers within this time from the start are not counted
    :ivar open_workers: largest number of requests of open loops that wait for
        an answer at once
    """

    classes: tuple[LoadClass, ...]
    warm_up_s: float = 3.0
    measured_s: float = 10.0
    open_workers: int = 256


def load_profile(path: str) -> LoadProfile:
    """Read a profile from a JSON file.

    :raises SettingsError: if the file cannot be read or is malformed
    """
    try:
        data = Path(path).read_bytes()
        return msgspec.json.decode(data, type=LoadProfile)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error


def generate_load(
    profile: LoadProfile, sender: Sender, clock: Clock, seed: int, entries: int
) -> list[Result]:
    """Send the load and return the results of the measured time.

    A request is counted if its outcome arrived within the measured time.

    :param entries: number of entries, or of targets for a baseline
    """
    results: list[Result] = []
    start_s = clock.monotonic_s()
    threads = []
    for number, load_class in enumerate(profile.classes):
        for caller in range(load_class.callers):
            rng = random.Random(f"{seed}/{number}/{caller}")
            rows = _rows(load_class, rng, f"{seed}-{number}-{caller}", entries)
            arguments = (
                profile,
                load_class,
                rows,
                sender,
                clock,
                results,
                start_s,
            )
            threads.append(
                threading.Thread(target=_closed_loop, args=arguments)
            )
    arrivals = _arrivals(profile, seed, entries)
    if arrivals:
        arguments = (profile, arrivals, sender, clock, results)
        threads.append(threading.Thread(target=_open_loop, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def _closed_loop(profile, load_class, rows, sender, clock, results, start_s):
    """Send each request after the outcome of the previous one.

    Adds the results of the measured time to ``results``.
    """
    first_s = start_s + profile.warm_up_s
    end_s = first_s + profile.measured_s
    for row in rows:
        if clock.monotonic_s() >= end_s:
            return
        result = sender.send(row)
        if first_s <= clock.monotonic_s() <= end_s:
            results.append(result)
        if not result.is_answered:
            clock.sleep(load_class.pause_ms / 1000)


def _open_loop(profile, arrivals, sender, clock, results):
    """Send each request at its time.

    Adds the results of the measured time to ``results``.
    """
    first_ms = profile.warm_up_s * 1000
    end_ms = first_ms + profile.measured_s * 1000
    for result in play(arrivals, sender, clock, profile.open_workers):
        done_ms = result.row.offset_ms + result.late_ms + result.latency_ms
        if first_ms <= done_ms <= end_ms:
            results.append(result)


def _arrivals(profile, seed, entries) -> list[TraceRow]:
    """Return the requests of all open loops in order of arrival."""
    end_ms = (profile.warm_up_s + profile.measured_s) * 1000
    arrivals = []
    for number, load_class in enumerate(profile.classes):
        rng = random.Random(f"{seed}/{number}/open")
        rows = _rows(load_class, rng, f"{seed}-{number}-open", entries)
        offset_ms = 0.0
        while load_class.rate_per_s > 0:
            offset_ms += rng.expovariate(load_class.rate_per_s) * 1000
            if offset_ms >= end_ms:
                break
            arrivals.append(attrs.evolve(next(rows), offset_ms=offset_ms))
    return sorted(arrivals, key=lambda row: row.offset_ms)


def _rows(
    load_class: LoadClass, rng: random.Random, prefix: str, entries: int
) -> Iterator[TraceRow]:
    weights = (load_class.entry_weights or (1.0,) * entries)[:entries]
    for number in itertools.count():
        work_ms = load_class.work_ms * (1 - load_class.spread)
        if load_class.spread:
            work_ms += rng.expovariate(
                1 / (load_class.work_ms * load_class.spread)
            )
        yield TraceRow(
            request_id=f"{prefix}-{number}",
            offset_ms=0.0,
            service=load_class.service,
            queue=load_class.queue,
            team=load_class.team,
            key=load_class.team,
            method="GET" if load_class.idempotent else "POST",
            idempotent=load_class.idempotent,
            work_ms=round(work_ms, 3),
            worth=load_class.worth,
            entry=rng.choices(range(len(weights)), weights)[0],
            outcome="answered-or-refused",
            deadline_ms=load_class.deadline_ms,
            answer_bytes=load_class.answer_bytes,
        )
