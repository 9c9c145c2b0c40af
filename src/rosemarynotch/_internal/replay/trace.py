"""Recorded traces: JSON lines, documented in traces/README.md."""

from pathlib import Path

import attrs
import msgspec

from rosemarynotch._internal.exceptions import SettingsError

__all__ = [
    "ENDED_PREFIX",
    "Expected",
    "JobWork",
    "load_keys",
    "load_trace",
    "TraceRow",
]

ANSWERED = "answered"
ANSWERED_OR_REFUSED = "answered-or-refused"
ANSWERED_OR_LATE = "answered-or-late"
REFUSED_PREFIX = "refused:"
ENDED_PREFIX = "ended:"


@attrs.frozen(kw_only=True)
class JobWork:
    """What a job declares, and what its task does on the stand-in.

    :ivar fail_count: tasks of the job that fail
    :ivar cancel_ms: when it is cancelled after it was accepted, 0 for never
    """

    cores: float = 1.0
    memory_mb: int = 0
    fail_count: int = 0
    cancel_ms: float = 0.0


@attrs.frozen(kw_only=True)
class TraceRow:
    """One request, or one submission of a job.

    :ivar offset_ms: when it is sent, after the start of the trace
    :ivar key: name of the key that is sent, empty for none
    :ivar entry: index of the entry that gets it
    :ivar outcome: what has to happen, see :class:`Expected`
    :ivar deadline_ms: 0 for no deadline
    :ivar job: None for a request to a service; ``service`` is then the pool
        of the workers and ``work_ms`` the run time of the task
    """

    request_id: str
    offset_ms: float
    service: str
    queue: str
    team: str
    key: str
    method: str
    idempotent: bool
    work_ms: float
    worth: float
    entry: int
    outcome: str
    idempotency_key: str = ""
    retry: bool = False
    deadline_ms: int = 0
    answer_bytes: int = 0
    job: JobWork | None = None


@attrs.frozen
class Expected:
    """A stated outcome.

    ``answered``: with the whole answer to this request;
    ``answered-or-refused``: also a refusal that says "not run";
    ``answered-or-late``: also, once the deadline has passed, that the
    outcome is unknown, because the request had started in time;
    ``refused:<code>``: a refusal with this code that says "not run";
    ``ended:<state>``: the job was accepted and ended in this state, with its
    own result if the state is ``done``.
    """

    answer: bool
    refusal: bool
    code: str = ""
    late: bool = False
    state: str = ""

    @classmethod
    def parse(cls, text: str) -> "Expected":
        """Parse the text of a trace.

        :raises SettingsError: for an unknown outcome
        """
        if text == ANSWERED:
            return cls(True, False)
        if text == ANSWERED_OR_REFUSED:
            return cls(True, True)
        if text == ANSWERED_OR_LATE:
            return cls(True, True, late=True)
        state = text.removeprefix(ENDED_PREFIX)
        if state != text and state:
            return cls(False, False, state=state)
        code = text.removeprefix(REFUSED_PREFIX)
        if code == text or not code:
            raise SettingsError(f"unknown stated outcome {text!r}")
        return cls(False, True, code)


def load_trace(path: str) -> list[TraceRow]:
    """Read a trace, in order of time.

    :raises SettingsError: when it cannot be read
    """
    rows = []
    for number, line in enumerate(_read(path).splitlines(), 1):
        try:
            row = msgspec.json.decode(line, type=TraceRow)
            _check(row, Expected.parse(row.outcome))
        except (msgspec.DecodeError, SettingsError) as error:
            raise SettingsError(f"{path}:{number}: {error}") from error
        rows.append(row)
    if not rows:
        raise SettingsError(f"{path}: no requests")
    return sorted(rows, key=lambda row: row.offset_ms)


def _check(row: TraceRow, expected: Expected) -> None:
    if expected.late and not row.deadline_ms:
        raise SettingsError(f"{row.outcome} without a deadline")
    if expected.state and row.job is None:
        raise SettingsError(f"{row.outcome} without a job")
    if expected.answer and row.job is not None:
        raise SettingsError(f"{row.outcome} for a job")


def load_keys(path: str) -> dict[str, str]:
    """Read keys by name from a JSON file.

    :raises SettingsError: when it cannot be read
    """
    if not path:
        return {}
    try:
        return msgspec.json.decode(_read(path), type=dict[str, str])
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
