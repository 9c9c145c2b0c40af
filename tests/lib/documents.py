"""A small document for tests of operator functions."""

import json

import attrs

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec

__all__ = ["make_document", "to_toml", "TOML"]

TOML = """
teams = [
    { name = "harbour", share = 2, limit_requests = 10 },
    { name = "market", share = 1, limit_requests = 10 },
]
queues = [{ name = "settle", pool = "settlement" }]
[[pools]]
name = "settlement"
kind = "service"
min_available_vms = 1
vms = [
    { name = "s-1", data_centre = "fort-hall", rack = "r1" },
    { name = "s-2", data_centre = "fort-hall", rack = "r2" },
]
"""


def make_document(limit_requests: int = 10) -> Document:
    """Return the document of :data:`TOML`.

    :param limit_requests: limit of the first team
    """
    vms = tuple(
        VmSpec(name=f"s-{number}", data_centre="fort-hall", rack=f"r{number}")
        for number in (1, 2)
    )
    pool = PoolSpec(
        name="settlement",
        kind=PoolKind.SERVICE,
        min_available_vms=1,
        vms=vms,
    )
    return Document(
        pools=(pool,),
        teams=(
            TeamSpec(name="harbour", share=2, limit_requests=limit_requests),
            TeamSpec(name="market", share=1, limit_requests=10),
        ),
        queues=(QueueSpec(name="settle", pool="settlement"),),
    )


def to_toml(document: Document) -> str:
    """Return a document as TOML text, the format that operators submit."""
    tables = attrs.asdict(document).items()
    return "\n".join(f"{key} = {_inline(value)}" for key, value in tables)


def _inline(value) -> str:
    if isinstance(value, dict):
        items = (f"{key} = {_inline(item)}" for key, item in value.items())
        return "{" + ", ".join(items) + "}"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(map(_inline, value)) + "]"
    return json.dumps(value)
