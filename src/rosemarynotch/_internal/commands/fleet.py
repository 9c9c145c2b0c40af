"""Commands on VMs and waves."""

from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import changes
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.session import Session
from rosemarynotch._internal.commands.waiting import follow

__all__ = [
    "abort_wave",
    "drain",
    "move",
    "pause_wave",
    "resume_wave",
    "start_wave",
    "undrain",
]


@changes
def drain(session: Session, output: Output, options: ChangeOptions, vm: str):
    """Take a VM out of service, without interrupting requests.

    :param vm: name of the VM
    """
    return _post(session, output, options, f"/v1/vms/{vm}/drain")


@changes
def undrain(session: Session, output: Output, options: ChangeOptions, vm: str):
    """Let a VM serve again.

    :param vm: name of the VM
    """
    return _post(session, output, options, f"/v1/vms/{vm}/undrain")


@changes
def move(
    session: Session,
    output: Output,
    options: ChangeOptions,
    vm: str,
    pool: str,
):
    """Drain a VM and let it serve another pool.

    :param vm: name of the VM
    :param pool: the pool that gets it
    """
    path = f"/v1/vms/{vm}/move"
    return _post(session, output, options, path, pool=pool)


@changes
def start_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Start a maintenance wave.

    :param wave: name of the wave
    """
    return _post(session, output, options, f"/v1/waves/{wave}/start")


@changes
def pause_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Take no further VMs; draining VMs return to service.

    :param wave: name of the wave
    """
    return _post(session, output, options, f"/v1/waves/{wave}/pause")


@changes
def resume_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """Go on with a paused wave.

    :param wave: name of the wave
    """
    return _post(session, output, options, f"/v1/waves/{wave}/resume")


@changes
def abort_wave(
    session: Session, output: Output, options: ChangeOptions, wave: str
):
    """End a wave.

    :param wave: name of the wave
    """
    return _post(session, output, options, f"/v1/waves/{wave}/abort")


def _post(session, output, options, path, **fields):
    answer = session.post(path, options.body(**fields))
    return follow(
        session,
        output,
        options,
        answer,
        f"/v1/fleet/revisions/{answer['fleet_revision']}",
        f"fleet revision {answer['fleet_revision']}",
    )
