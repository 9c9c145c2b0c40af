"""Codec for the documents of operators and workers in the store."""

import json
import re

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.platform.decoding import decode_body
from rosemarynotch._internal.platform.decoding import decode_rows
from rosemarynotch._internal.platform.schema import ConfigurationBody
from rosemarynotch._internal.platform.schema import LimitsRow
from rosemarynotch._internal.platform.schema import NO_LIMITS
from rosemarynotch._internal.platform.schema import QueueRow
from rosemarynotch._internal.platform.schema import ServiceRow
from rosemarynotch._internal.platform.schema import TenantRow
from rosemarynotch._internal.platform.schema import WaveBody
from rosemarynotch._internal.platform.schema import WorkerBody
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import RequestLimits
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import WorkerEntry

__all__ = [
    "KEYS",
    "decode_configuration",
    "decode_wave",
    "decode_worker",
    "encode_wave_status",
]


@attrs.frozen
class _StoreKeys:
    """Keys and key prefixes in the store, defined by the platform."""

    configuration: str = "op/config"
    evacuations: str = "op/evacuate/"
    waves: str = "op/wave/"
    wave_status: str = "status/wave/"
    workers: str = "servers/"


KEYS = _StoreKeys()
# Calls name the worker in a header.
WORKER_ID_PATTERN = re.compile(r"[!-~]{1,200}")


def decode_configuration(item: Item) -> Configuration | Failure:
    """Decode the operator's configuration.

    Invalid rows are left out; ``refused`` has the reason for each.
    """
    try:
        body = decode_body(item.value, ConfigurationBody)
    except ValueError as error:
        return RECORD_MALFORMED.with_reason(f"{item.key}: {error}")
    refused: list[str] = []
    queues = decode_rows(body.routes, QueueRow, refused)
    pools = decode_rows(body.services, ServiceRow, refused)
    organisations = decode_rows(body.tenants, TenantRow, refused)
    limits = decode_rows([body.limits], LimitsRow | None, refused)
    return Configuration(
        version=body.version,
        revision=item.revision,
        queues=tuple(_to_queue(row) for row in queues),
        pools={
            row.name: PoolPolicy(
                name=row.name,
                guards_capacity=bool(row.admission_check),
                is_standby=bool(row.standby),
            )
            for row in pools
        },
        organisations={
            row.name: Organisation(
                name=row.name,
                keys=frozenset(row.api_keys),
                weight=row.weight,
                cap=row.cap.resources() if row.cap else Resources(),
            )
            for row in organisations
        },
        limits=_to_limits(next(iter(limits), None) or NO_LIMITS),
        refused=tuple(refused),
    )


def _to_queue(row: QueueRow) -> QueuePolicy:
    advice = row.advisor
    return QueuePolicy(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        pool=row.backend,
        is_public=bool(row.public),
        priority=row.priority,
        max_failures=row.attempts,
        stretch=row.stretch,
        target_latency_ms=int(row.target_latency_ms),
        advice=advice
        and AdvicePolicy(
            decision_ms=int(advice.decision_ms),
            per_worker_ms=int(advice.period_ms),
            validity_ms=int(advice.validity_ms),
        ),
    )


def _to_limits(row: LimitsRow) -> RequestLimits:
    given = {
        name: int(value)
        for name, value in (
            ("header_timeout_ms", row.header_timeout_ms),
            ("idle_timeout_ms", row.idle_timeout_ms),
        )
        if value is not None
    }
    return RequestLimits(**given)


def decode_worker(item: Item) -> WorkerEntry | Failure:
    """Decode the entry of a worker; the key ends with its identifier."""
    worker_id = item.key.removeprefix(KEYS.workers)
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        return RECORD_MALFORMED.with_reason(
            f"{item.key!r}: identifier is not printable ASCII"
        )
    try:
        body = decode_body(item.value, WorkerBody)
    except ValueError as error:
        return RECORD_MALFORMED.with_reason(f"{item.key}: {error}")
    return WorkerEntry(
        worker_id=worker_id,
        started_unix_ms=int(body.born),
        pool=body.backend,
        address=body.address,
        data_centre=body.zone,
        labels=tuple(body.labels),
        capacity=body.capacity.resources(),
        is_draining=body.state == "draining",
        remaining_ms=int(body.remaining_ms),
    )


def decode_wave(item: Item) -> Wave | Failure:
    """Decode a maintenance wave."""
    try:
        body = decode_body(item.value, WaveBody)
    except ValueError as error:
        return RECORD_MALFORMED.with_reason(f"{item.key}: {error}")
    return Wave(
        number=body.wave,
        vms=tuple(body.machines),
        duration_s=body.duration_s,
        max_down=body.cap,
    )


def encode_wave_status(is_completed: bool) -> bytes:
    """Encode the state of a wave for operators."""
    state = "completed" if is_completed else "running"
    return json.dumps({"state": state}).encode()
