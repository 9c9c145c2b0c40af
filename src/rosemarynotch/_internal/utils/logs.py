"""Structured log lines.

Log lines report changes of state; events of single requests are counted in
:mod:`metrics`. Modules use ``logbook.Logger(__name__)`` and pass details as
keyword arguments::

    logger.notice("wave paused", change_id=change_id, wave=name)
"""

import datetime
import json
import sys
from typing import TextIO

import logbook

__all__ = ["set_up_logs"]

MAX_VALUE_LENGTH = 200
REMOVED = "[removed]"
# Names of fields whose values are never written to a log.
SECRET_FIELDS = frozenset(
    ("authorization", "body", "digest_salt", "key", "salt", "secret")
)


def set_up_logs(
    component: str,
    incarnation: str,
    level: str = "NOTICE",
    stream: TextIO | None = None,
) -> logbook.Handler:
    """Send log records of all threads to a stream.

    :param component: name of the program, such as ``entry``
    :param incarnation: identifier of this run of the program
    :param level: name of the lowest level that is written
    :param stream: output stream, standard error by default
    :returns: the handler; its method ``pop_application`` removes it
    :raises LookupError: if the level is unknown
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level.upper())
    )
    fixed = {"component": component, "incarnation": incarnation}
    handler.formatter = lambda record, _: _format(record, fixed)
    handler.push_application()
    return handler


def _format(record: logbook.LogRecord, fixed: dict[str, str]) -> str:
    time = record.time.replace(tzinfo=datetime.timezone.utc)
    fields = {
        "time": time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        **fixed,
        "logger": record.channel,
        "event": record.message,
    }
    for name, value in record.kwargs.items():
        fields.setdefault(name, REMOVED if name in SECRET_FIELDS else value)
    if record.exc_info:
        fields["error"] = record.formatted_exception
    return " ".join(
        f"{name}={_quote(value)}" for name, value in fields.items()
    )


def _quote(value: object) -> str:
    text = str(value)
    if len(text) > MAX_VALUE_LENGTH:
        # Keep the end as well, because the last line of a traceback names the
        # error.
        half = MAX_VALUE_LENGTH // 2
        text = f"{text[:half]}...{text[-half:]}"
    is_plain = text.isprintable() and not set(text) & set(' "=')
    return text if is_plain and text else json.dumps(text)
