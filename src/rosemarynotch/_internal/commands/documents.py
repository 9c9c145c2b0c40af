"""Commands for documents and versions of the configuration."""

import pathlib

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import change_command
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import local_command
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.options import read_command
from rosemarynotch._internal.commands.session import Session
from rosemarynotch._internal.commands.waiting import await_version
from rosemarynotch._internal.configuration import document_digest
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.validation import parse_document

__all__ = ["diff", "promote", "rollback", "try_document", "validate"]

ANY_VERSION = -1


@local_command
def validate(output: Output, file: str):
    """Check a document locally, without an entry.

    :param file: file with the document
    """
    document = _read_document(file)[1]
    digest = document_digest(codec.encode(document))
    output.show(
        {"digest": digest, "valid": True},
        f"valid: {len(document.pools)} pools, {len(document.teams)} teams,"
        f" {len(document.queues)} queues\ndigest {digest}",
    )


@read_command
def diff(session: Session, output: Output, file: str):
    """Compare a document with the newest version.

    :param file: file with the document
    """
    answer = session.query(
        "/v1/config/diff", {"document": _read_document(file)[0]}
    )
    lines = [f"against version {answer['version']}"]
    lines += answer["differences"] or ["no differences"]
    lines += [f"! {line}" for line in answer["consequences"]]
    output.show(answer, "\n".join(lines))


@change_command
def try_document(
    session: Session,
    output: Output,
    options: ChangeOptions,
    file: str,
    *,
    expected_version: int = ANY_VERSION,
    confirm: bool = False,
):
    """Put a document in force in a trial environment and record the trial.

    :param file: file with the document
    :param expected_version: refuse the change if another version is newest
    :param confirm: accept the listed consequences
    """
    return _send_change(
        session,
        output,
        options,
        "/v1/config/try",
        expected_version,
        document=_read_document(file)[0],
        confirmed=confirm,
    )


@change_command
def promote(
    session: Session,
    output: Output,
    options: ChangeOptions,
    file: str,
    *,
    digest: str,
    trial_entry: str = "",
    trial_operator_key: str = "",
    expected_version: int = ANY_VERSION,
    confirm: bool = False,
):
    """Put a document in force that was tried and approved.

    :param file: file with the document
    :param digest: the approved digest
    :param trial_entry: HOST:PORT of an operator port of the trial
        environment, if that has another store
    :param trial_operator_key: operator key for the trial environment, if it
        differs
    :param expected_version: refuse the change if another version is newest
    :param confirm: accept the listed consequences
    """
    trial = None
    document = _read_document(file)[0]
    if trial_entry:
        key = trial_operator_key or session.key
        trial = Session(trial_entry, key).get(f"/v1/config/tried/{digest}")
    return _send_change(
        session,
        output,
        options,
        "/v1/config/promote",
        expected_version,
        document=document,
        digest=digest,
        trial=trial,
        confirmed=confirm,
    )


@change_command
def rollback(
    session: Session,
    output: Output,
    options: ChangeOptions,
    version: int,
    *,
    expected_version: int = ANY_VERSION,
    confirm: bool = False,
):
    """Put the document of an earlier version in force, as a new version.

    :param version: number of the earlier version
    :param expected_version: refuse the change if another version is newest
    :param confirm: accept the listed consequences
    """
    return _send_change(
        session,
        output,
        options,
        "/v1/config/rollback",
        expected_version,
        to_version=version,
        confirmed=confirm,
    )


def _read_document(file: str) -> tuple[str, Document]:
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandError(Exit.BAD_USAGE, f"{file}: {error}") from error
    document = parse_document(text)
    if not isinstance(document, Document):
        lines = "\n".join(str(problem) for problem in document)
        raise CommandError(
            Exit.REFUSED, f"document-malformed:\n{lines}", "document-malformed"
        )
    return text, document


def _send_change(session, output, options, path, expected_version, **fields):
    """Send a change of the configuration and wait until it is in force."""
    if expected_version == ANY_VERSION:
        expected_version = session.get("/v1/config")["version"]
    body = options.body(expected_version=expected_version, **fields)
    answer = session.post(path, body)
    more = f"digest {answer['digest']}"
    return await_version(session, output, options, answer, more)
