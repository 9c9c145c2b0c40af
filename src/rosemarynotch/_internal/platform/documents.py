"""Documents that the operator and the workers keep in the store."""

import json

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.platform.calls import resource_fields
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import RequestLimits
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
class _Keys:
    """Keys of the store that the platform has fixed."""

    configuration: str = "op/config"
    waves: str = "op/wave/"
    wave_status: str = "status/wave/"
    workers: str = "servers/"


KEYS = _Keys()


def decode_configuration(item: Item) -> Configuration | Failure:
    """Decode the operator's configuration."""
    try:
        fields = json.loads(item.value)
        return Configuration(
            version=int(fields["version"]),
            revision=item.revision,
            queues=tuple(_queue(row) for row in fields["routes"]),
            pools={
                row["name"]: PoolPolicy(
                    name=row["name"],
                    guards_capacity=bool(row.get("admission-check")),
                    is_standby=bool(row.get("standby")),
                )
                for row in fields["services"]
            },
            organisations={
                row["name"]: _organisation(row)
                for row in fields.get("tenants", [])
            },
            limits=_limits(fields.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError) as error:
        return RECORD_MALFORMED.because(f"{item.key}: {error!r}")


def _queue(row: dict) -> QueuePolicy:
    advice = row.get("advisor") or None
    return QueuePolicy(
        name=row["name"],
        host=row["host"],
        prefix=row["prefix"],
        pool=row["backend"],
        is_public=bool(row.get("public")),
        priority=int(row.get("priority", 0)),
        max_failures=int(row.get("attempts", 1)),
        stretch=float(row.get("stretch", 1.0)),
        target_latency_ms=int(row.get("target-latency-ms", 0)),
        advice=advice
        and AdvicePolicy(
            decision_ms=int(advice.get("decision-ms", 0)),
            per_worker_ms=int(advice.get("period-ms", 0)),
            validity_ms=int(advice.get("validity-ms", 0)),
        ),
    )


def _limits(row: dict) -> RequestLimits:
    known = RequestLimits()
    return RequestLimits(
        header_timeout_ms=int(
            row.get("header-timeout-ms", known.header_timeout_ms)
        ),
        idle_timeout_ms=int(row.get("idle-timeout-ms", known.idle_timeout_ms)),
    )


def _organisation(row: dict) -> Organisation:
    return Organisation(
        name=row["name"],
        keys=frozenset(row.get("api-keys", ())),
        weight=float(row.get("weight", 1)),
        cap=resource_fields(row.get("cap") or {}),
    )


def decode_worker(item: Item) -> WorkerEntry | Failure:
    """Decode the entry of a worker; the key ends with its identifier."""
    try:
        fields = json.loads(item.value)
        if fields["state"] not in ("ready", "draining"):
            return RECORD_MALFORMED.because(f"{item.key}: state")
        host, _, port = fields["address"].rpartition(":")
        if not host or not port.isdecimal():
            return RECORD_MALFORMED.because(f"{item.key}: address")
        return WorkerEntry(
            worker_id=item.key.removeprefix(KEYS.workers),
            started_unix_ms=int(fields.get("born", 0)),
            pool=str(fields["backend"]),
            address=fields["address"],
            data_centre=str(fields.get("zone", "")),
            labels=tuple(str(each) for each in fields.get("labels", ())),
            capacity=resource_fields(fields["capacity"]),
            is_draining=fields["state"] == "draining",
            remaining_ms=int(fields.get("remaining-ms", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return RECORD_MALFORMED.because(f"{item.key}: {error!r}")


def decode_wave(item: Item) -> Wave | Failure:
    """Decode a maintenance wave."""
    try:
        fields = json.loads(item.value)
        return Wave(
            number=int(fields["wave"]),
            vms=tuple(fields["machines"]),
            duration_s=float(fields["duration-s"]),
            max_down=int(fields["cap"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        return RECORD_MALFORMED.because(f"{item.key}: {error!r}")


def encode_wave_status(is_completed: bool) -> bytes:
    """Encode the state of a wave for the operator."""
    state = "completed" if is_completed else "running"
    return json.dumps({"state": state}).encode()
