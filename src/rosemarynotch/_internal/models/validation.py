"""Parsing and validation of the operators' document.

All errors of a document are reported at once. Structure and rules are both
checked on the parsed TOML tables, so that a structure error, such as an
unknown field, does not hide a violated rule, such as a missing pool.
"""

import difflib
import enum
import math
import tomllib
from typing import Any
from typing import Iterator

import attrs
import cattrs
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.fields import Problem
from rosemarynotch._internal.models.rules import check_tables
from rosemarynotch._internal.models.rules import one_of

__all__ = ["check_document", "parse_document", "Problem"]

TYPE_NAMES = {str: "a string", bool: "true or false", int: "a whole number"}


class _WrongValue(TypeError):
    """Raised for a value of a wrong type; the text names valid values."""


def parse_document(text: str) -> Document | list[Problem]:
    """Parse a document in TOML format.

    :returns: the document, or all problems found in it
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [Problem(path="", error=str(error), valid="a TOML file")]
    document = None
    problems = []
    try:
        document = _CONVERTER.structure(tables, Document)
    except cattrs.BaseValidationError as error:
        problems = _structure_problems(error, "")
    problems += check_tables(tables)
    return problems or document


def check_document(document: Document) -> list[Problem]:
    """Return the problems of a document that was not parsed from TOML."""
    return check_tables(cattrs.unstructure(document))


def _structure_problems(error: BaseException, path: str) -> list[Problem]:
    """Convert the error tree of the converter to problems with paths."""
    if not isinstance(error, cattrs.BaseValidationError):
        return list(_describe(error, path))
    problems = []
    with_notes, without = error.group_exceptions()
    for inner, note in with_notes:
        if isinstance(error, cattrs.IterableValidationError):
            inner_path = f"{path}[{note.index}]"
        else:
            inner_path = _join(path, note.name)
        problems += _structure_problems(inner, inner_path)
    for inner in without:
        problems += _describe(inner, path)
    return problems


def _describe(error: BaseException, path: str) -> Iterator[Problem]:
    if isinstance(error, ForbiddenExtraKeysError):
        names = [field.name for field in attrs.fields(error.cl)]
        for unknown in sorted(error.extra_fields):
            near = difflib.get_close_matches(unknown, names, 1) or names
            yield Problem(
                path=_join(path, unknown),
                error="unknown field",
                valid=one_of(near),
            )
    elif isinstance(error, KeyError):
        yield Problem(path=path, error="missing", valid="a value")
    else:
        yield Problem(path=path, error="wrong value", valid=str(error))


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _strict(kind: type):
    """Return a hook that accepts only the type itself, unconverted."""

    def structure(value: Any, _) -> Any:
        if type(value) is not kind:
            raise _WrongValue(TYPE_NAMES[kind])
        return value

    return structure


def _structure_enum(value: Any, kind: type[enum.Enum]) -> enum.Enum:
    names = [member.value for member in kind]
    if value not in names:
        raise _WrongValue(one_of(names))
    return kind(value)


def _structure_float(value: Any, _) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise _WrongValue("a number")
    return float(value)


def _table_factory(kind: type, converter: cattrs.Converter):
    inner = make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True
    )

    def structure(value: Any, _) -> Any:
        if not isinstance(value, dict):
            raise _WrongValue("a table")
        return inner(value, kind)

    return structure


def _array_factory(kind: type, converter: cattrs.Converter):
    inner = homogenous_tuple_structure_factory(kind, converter)

    def structure(value: Any, _) -> Any:
        if not isinstance(value, list):
            raise _WrongValue("an array")
        return inner(value, kind)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in TYPE_NAMES:
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(float, _structure_float)
    # Without this more specific hook, a StrEnum would be handled as a str.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_structure_hook_factory(attrs.has, _table_factory)
    converter.register_structure_hook_factory(
        lambda kind: getattr(kind, "__origin__", None) is tuple,
        _array_factory,
    )
    return converter


_CONVERTER = _make_converter()
