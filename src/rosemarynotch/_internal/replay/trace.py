"""Recorded traces: JSON lines, documented in traces/README.md."""

from pathlib import Path

import attrs
import msgspec

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["Expected", "load_keys", "load_trace", "TraceRow"]

ANSWERED = "answered"
ANSWERED_OR_REFUSED = "answered-or-refused"
ANSWERED_OR_LATE = "answered-or-late"
REFUSED_PREFIX = "refused:"


@attrs.frozen(kw_only=True)
class TraceRow:
    """One request.

    :ivar offset_ms: when it is sent, after the start of the trace
    :ivar key: name of the key that is sent, empty for none
    :ivar entry: index of the entry that gets it
    :ivar outcome: what has to happen, see :class:`Expected`
    :ivar deadline_ms: 0 for no deadline
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


@attrs.frozen
class Expected:
    """A stated outcome.

    ``answered``: with the whole answer to this request;
    ``answered-or-refused``: also a refusal that says "not run";
    ``answered-or-late``: also, once the deadline has passed, that the
    outcome is unknown, because the request had started in time;
    ``refused:<code>``: a refusal with this code that says "not run".
    """

    answer: bool
    refusal: bool
    code: str = ""
    late: bool = False

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
            if Expected.parse(row.outcome).late and not row.deadline_ms:
                raise SettingsError(f"{row.outcome} without a deadline")
        except (msgspec.DecodeError, SettingsError) as error:
            raise SettingsError(f"{path}:{number}: {error}") from error
        rows.append(row)
    if not rows:
        raise SettingsError(f"{path}: no requests")
    return sorted(rows, key=lambda row: row.offset_ms)


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
