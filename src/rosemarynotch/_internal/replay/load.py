"""Generated load: closed loops of callers, and open arrivals."""

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

    Either ``callers`` send one request after the other (closed loop), or
    requests arrive at ``rate_per_s`` whatever happens to them (open loop,
    exponential gaps).

    :ivar entry_weights: how requests are spread over the entries
    :ivar spread: work times are exponential with this part of their mean,
        and fixed for the rest
    :ivar pause_ms: a caller's pause after a refusal
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
    """What to send and for how long.

    :ivar warm_up_s: results of requests sent before are not counted
    """

    classes: tuple[LoadClass, ...]
    warm_up_s: float = 3.0
    measured_s: float = 10.0
    open_workers: int = 256


def load_profile(path: str) -> LoadProfile:
    """Read a profile from a JSON file.

    :raises SettingsError: when it cannot be read
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
    """Send the load and return results within the measured time.

    A request counts if its answer arrived within the measured time.

    :param entries: number of entries, or of targets for a baseline
    """
    results: list[Result] = []
    start_s = clock.monotonic_s()
    threads = []
    for number, each in enumerate(profile.classes):
        for caller in range(each.callers):
            rng = random.Random(f"{seed}/{number}/{caller}")
            rows = _rows(each, rng, f"{seed}-{number}-{caller}", entries)
            arguments = (profile, each, rows, sender, clock, results, start_s)
            threads.append(
                threading.Thread(target=_close_loop, args=arguments)
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


def _close_loop(profile, each, rows, sender, clock, results, start_s):
    """Send one request after the other."""
    first_s = start_s + profile.warm_up_s
    end_s = first_s + profile.measured_s
    for row in rows:
        if clock.monotonic_s() >= end_s:
            return
        result = sender.send(row)
        if first_s <= clock.monotonic_s() <= end_s:
            results.append(result)
        if not result.is_answered:
            clock.sleep(each.pause_ms / 1000)


def _open_loop(profile, arrivals, sender, clock, results):
    first_ms = profile.warm_up_s * 1000
    end_ms = first_ms + profile.measured_s * 1000
    for result in play(arrivals, sender, clock, profile.open_workers):
        end = result.row.offset_ms + result.late_ms + result.latency_ms
        if first_ms <= end <= end_ms:
            results.append(result)


def _arrivals(profile, seed, entries) -> list[TraceRow]:
    """Return the requests of all open loops in order of time."""
    end_ms = (profile.warm_up_s + profile.measured_s) * 1000
    arrivals = []
    for number, each in enumerate(profile.classes):
        rng = random.Random(f"{seed}/{number}/open")
        rows = _rows(each, rng, f"{seed}-{number}-open", entries)
        offset_ms = 0.0
        while each.rate_per_s > 0:
            offset_ms += rng.expovariate(each.rate_per_s) * 1000
            if offset_ms >= end_ms:
                break
            arrivals.append(attrs.evolve(next(rows), offset_ms=offset_ms))
    return sorted(arrivals, key=lambda row: row.offset_ms)


def _rows(
    each: LoadClass, rng: random.Random, prefix: str, entries: int
) -> Iterator[TraceRow]:
    weights = (each.entry_weights or (1.0,) * entries)[:entries]
    for number in itertools.count():
        work_ms = each.work_ms * (1 - each.spread)
        if each.spread:
            work_ms += rng.expovariate(1 / (each.work_ms * each.spread))
        yield TraceRow(
            request_id=f"{prefix}-{number}",
            offset_ms=0.0,
            service=each.service,
            queue=each.queue,
            team=each.team,
            key=each.team,
            method="GET" if each.idempotent else "POST",
            idempotent=each.idempotent,
            work_ms=round(work_ms, 3),
            worth=each.worth,
            entry=rng.choices(range(len(weights)), weights)[0],
            outcome="answered-or-refused",
            deadline_ms=each.deadline_ms,
            answer_bytes=each.answer_bytes,
        )
