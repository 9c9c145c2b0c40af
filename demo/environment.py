"""Prepares the files of an example environment."""

from pathlib import Path
import re
import secrets

import attrs
import msgspec

from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.validation import parse_document

__all__ = ["ENTRY_VMS", "Environment", "prepare"]

HERE = Path(__file__).parent
ENTRY_VMS = ("entry-vm-1", "entry-vm-2", "entry-vm-3")
KEY_ID = "k1"
# A VM without an address does not join its pool. Nothing connects to workers,
# so any address will do.
WORKER_ADDRESS = "127.0.0.1:9"
TEAM_WITHOUT_KEYS = re.compile(r'name = "([\w-]+)"([^\n]*)keys = \[\]')


@attrs.frozen(kw_only=True)
class Environment:
    """An example environment with its files.

    :ivar target_ports: port by name of VM
    :ivar keys: keys by name, as the replay tool reads them
    """

    name: str
    document: Document
    document_file: Path
    fleet_file: Path
    keys_file: Path
    keys: dict[str, str]
    target_ports: dict[str, int]

    def add_key(self, name: str, text: str) -> None:
        """Add a key to the key file of the replay tool."""
        self.keys[name] = text
        self.keys_file.write_bytes(msgspec.json.encode(self.keys))


def prepare(
    name: str, directory: Path, ports: list[int], admin_port: int
) -> Environment:
    """Write the files of an environment.

    :param ports: free ports, at least one for each target
    :param admin_port: port for admin calls to all targets
    """
    keys: dict[str, str] = {}
    template = (HERE / f"{name}.toml").read_text()
    text = TEAM_WITHOUT_KEYS.sub(
        lambda found: _insert_key(found, keys), template
    )
    team = next(iter(keys))
    keys["wrong"] = f"{team}.{KEY_ID}.{secrets.token_urlsafe()}"
    document = parse_document(text)
    targets = _target_vms(document)
    environment = Environment(
        name=name,
        document=document,
        document_file=directory / "document.toml",
        fleet_file=directory / "fleet.json",
        keys_file=directory / "keys.json",
        keys=keys,
        target_ports=dict(zip(targets, ports, strict=False)),
    )
    environment.document_file.write_text(text)
    rows = _fleet(document, environment.target_ports, admin_port)
    environment.fleet_file.write_bytes(msgspec.json.encode(rows))
    return environment


def _insert_key(found: re.Match, keys: dict[str, str]) -> str:
    """Return the line of a team in the document with a new key."""
    team, between = found.groups()
    keys[team], spec = make_key(team, KEY_ID)
    fields = f'key_id = "{KEY_ID}", salt = "{spec.salt}"'
    line = f'{{ {fields}, digest = "{spec.digest}" }}'
    return f'name = "{team}"{between}keys = [{line}]'


def _target_vms(document: Document) -> list[str]:
    """Return the VMs that run a target, which are all except workers."""
    return [
        vm.name
        for pool in document.pools
        if pool.kind is not PoolKind.WORKERS
        for vm in pool.vms
    ]


def _fleet(document, target_ports, admin_port) -> list[dict]:
    """Return the VM list for the platform stand-in."""
    rows = [{"name": vm} for vm in ENTRY_VMS]
    for vm in (vm for pool in document.pools for vm in pool.vms):
        row = {
            "name": vm.name,
            "data_centre": vm.data_centre,
            "rack": vm.rack,
            "cores": vm.cores,
            "memory_mb": vm.memory_mb,
            "accelerators": vm.accelerators,
        }
        if vm.name in target_ports:
            row["address"] = f"127.0.0.1:{target_ports[vm.name]}"
            row["admin_address"] = f"127.0.0.1:{admin_port}"
        else:
            row["address"] = WORKER_ADDRESS
        rows.append(row)
    return rows
