"""Commands for VMs and waves."""

from rosemarynotch._internal.commands.options import change_command
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.session import Session
from rosemarynotch._internal.commands.waiting import await_in_force

__all__ = [
    "abort_wave",
    "drain",
    "move",
    "pause_wave",
    "resume_wave",
    "start_wave",
    "undrain",
]


@change_command
def drain(session: Session, output: Output, options: ChangeOptions, vm: str):
    """Take a VM out of service, without interrupting requests.

    :param vm: name of the VM
    """
    return _send_change(session, output, options, f"/v1/vms/{vm}/drain")


@change_command
def undrain(session: Session, output: Output, options: ChangeOptions, vm: str):
    """Return a VM to service.

    :param vm: name of the VM
    """
    return _send_change(session, output, options, f"/v1/vms/{vm}/undrain")


@change_command
def move(
    session: Session,
    output: Output,
    options: ChangeOptions,
    vm: str,
    pool: str,
):
    """Drain a VM and move it to another pool.

    :param vm: name of the VM
    :param pool: name of the new pool
    """
    path = f"/v1/vms/{vm}/move"
    return _send_change(session, output, options, path, pool=pool)


@change_command
def start_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Start a maintenance wave.

    :param wave: name of the wave
    """
    return _send_change(session, output, options, f"/v1/waves/{wave}/start")


@change_command
def pause_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Pause a wave: take no further VMs, return draining VMs to service.

    :param wave: name of the wave
    """
    return _send_change(session, output, options, f"/v1/waves/{wave}/pause")


@change_command
def resume_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Resume a paused wave.

    :param wave: name of the wave
    """
    return _send_change(session, output, options, f"/v1/waves/{wave}/resume")


@change_command
def abort_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Abort a wave.

    :param wave: name of the wave
    """
    return _send_change(session, output, options, f"/v1/waves/{wave}/abort")


def _send_change(session, output, options, path, **fields):
    answer = session.post(path, options.body(**fields))
    return await_in_force(
        session,
        output,
        options,
        answer,
        f"/v1/fleet/revisions/{answer['fleet_revision']}",
        f"fleet revision {answer['fleet_revision']}",
    )
