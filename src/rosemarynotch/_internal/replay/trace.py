"""Reads recorded traces; traces/README.md documents their format."""

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
    """Resources that a job declares, and how its task behaves.

    :ivar fail_count: number of the job's tasks that fail; each attempt to run
        the job is a new task
    :ivar cancel_ms: time from acceptance to cancellation, 0 for none
    """

    cores: float = 1.0
    memory_mb: int = 0
    fail_count: int = 0
    cancel_ms: float = 0.0


@attrs.frozen(kw_only=True)
class TraceRow:
    """A request or the submission of a job.

    :ivar offset_ms: time of sending, from the start of the trace
    :ivar key: name of the key to send, empty to send none
    :ivar entry: index of the entry to send to
    :ivar outcome: expected outcome, see :class:`Expected`
    :ivar deadline_ms: 0 for no deadline
    :ivar job: None for a request to a service; with a job, ``service`` is
        the pool of workers and ``work_ms`` the run time of the task
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
    """The outcomes that the text of a trace row permits.

    ``answered``: the complete answer to this request;
    ``answered-or-refused``: also a refusal that says "not run";
    ``answered-or-late``: also an unknown outcome once the deadline has
    passed, because the request may have started in time;
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
        """Parse the outcome text of a trace row.

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
            raise SettingsError(f"unknown expected outcome {text!r}")
        return cls(False, True, code)


def load_trace(path: str) -> list[TraceRow]:
    """Read a trace and return its rows in order of sending.

    :raises SettingsError: if the file cannot be read or is not a trace
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
        raise SettingsError(f"{path}: the trace has no rows")
    return sorted(rows, key=lambda row: row.offset_ms)


def _check(row: TraceRow, expected: Expected) -> None:
    if expected.late and not row.deadline_ms:
        raise SettingsError(f"outcome {row.outcome} requires a deadline")
    if expected.state and row.job is None:
        raise SettingsError(f"outcome {row.outcome} requires a job")
    if expected.answer and row.job is not None:
        raise SettingsError(f"outcome {row.outcome} is not valid for a job")


def load_keys(path: str) -> dict[str, str]:
    """Read keys by name from a JSON file.

    :param path: empty for no keys
    :raises SettingsError: if the file cannot be read or is malformed
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
