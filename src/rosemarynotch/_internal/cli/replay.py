"""The program ``rosemarynotch-replay``: replays traces and generates load."""

from pathlib import Path

import msgspec

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.replay.day_account import format_account
from rosemarynotch._internal.replay.day_log import read_day
from rosemarynotch._internal.replay.job_sending import JobSender
from rosemarynotch._internal.replay.load import generate_load
from rosemarynotch._internal.replay.load import load_profile
from rosemarynotch._internal.replay.load_summary import format_load
from rosemarynotch._internal.replay.load_summary import summarize_load
from rosemarynotch._internal.replay.sending import DirectSender
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.sending import WRONG_ANSWER
from rosemarynotch._internal.replay.summary import format_trace
from rosemarynotch._internal.replay.timed_sending import play
from rosemarynotch._internal.replay.trace import load_keys
from rosemarynotch._internal.replay.trace import load_trace
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.settings import run_program

__all__ = ["main", "replay"]

EXIT_FAILED = 1


def replay(
    *,
    entries: str = "",
    direct: str = "",
    keys: str = "",
    trace: str = "",
    load: str = "",
    results: str = "",
    seed: int = 1,
    workers: int = 256,
    timeout_s: float = 60.0,
    account: str = "",
) -> int:
    """Replay a trace or generate load, and print a summary of the results.

    With ``account``, it reads the log of a day instead and prints why jobs
    were late and what the VMs were used for.

    :param entries: caller addresses of entries, separated by commas
    :param direct: addresses of targets to send to without entries, as a
        baseline; jobs of a trace are skipped
    :param keys: JSON file with keys by name
    :param trace: trace as a file of JSON lines; the exit status is 1 unless
        all outcomes stated there occurred
    :param load: JSON file with a load profile; the exit status is 1 if any
        answer was incomplete or belonged to another request
    :param results: file for the results as JSON lines, or for the figures
        of generated load
    :param seed: random seed of generated load
    :param workers: number of requests of a trace that can wait at a time
    :param timeout_s: longest wait for an answer, in seconds
    :param account: log lines of all nodes of a day; no other setting applies
    """
    if account:
        return _print_account(account)
    if bool(entries) == bool(direct):
        raise SettingsError("exactly one of --entries and --direct is needed")
    if bool(trace) == bool(load):
        raise SettingsError("exactly one of --trace and --load is needed")
    clock = SystemClock()
    addresses = (entries or direct).split(",")
    if direct:
        sender = DirectSender(addresses, clock, timeout_s)
    else:
        sender = JobSender(addresses, clock, timeout_s, load_keys(keys))
    if trace:
        rows = load_trace(trace)
        if direct:
            rows = [row for row in rows if row.job is None]
        found = play(rows, sender, clock, workers)
        _write_lines(results, [_encode_result(result) for result in found])
        print(format_trace(found))
        all_held = all(result.holds() for result in found)
    else:
        profile = load_profile(load)
        found = generate_load(profile, sender, clock, seed, len(addresses))
        summary = summarize_load(profile, found)
        _write_lines(results, [msgspec.json.encode(summary)])
        print(format_load(summary, found))
        all_held = all(result.code != WRONG_ANSWER for result in found)
    return 0 if all_held else EXIT_FAILED


def _print_account(path: str) -> int:
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    try:
        print(format_account(read_day(lines)))
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
    return 0


def main() -> None:
    """Run the program ``rosemarynotch-replay``."""
    run_program(replay)


def _encode_result(result: Result) -> bytes:
    row = result.row
    return msgspec.json.encode(
        {
            "request_id": row.request_id,
            "queue": row.queue,
            "team": row.team,
            "outcome": row.outcome,
            "code": result.code,
            "ran": result.ran,
            "latency_ms": result.latency_ms,
            "late_ms": result.late_ms,
            "idempotent": row.idempotent,
            "held": result.holds(),
            "job": row.job is not None,
            "job_id": result.job_id,
            "fail_count": row.job.fail_count if row.job else 0,
            "accepted_ms": result.accepted_ms,
        }
    )


def _write_lines(path: str, lines: list[bytes]) -> None:
    if path:
        Path(path).write_bytes(b"\n".join(lines) + b"\n")


if __name__ == "__main__":
    main()
