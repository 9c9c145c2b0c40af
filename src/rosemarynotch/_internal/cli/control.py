"""The program ``rosemarynotch-control``."""

from rosemarynotch._internal.cli.programs import check_choice
from rosemarynotch._internal.cli.programs import set_up_member
from rosemarynotch._internal.cli.programs import stop_event
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.utils.settings import run_program

__all__ = ["main"]


def serve(
    *,
    name: str,
    vm: str,
    data_centre: str,
    store: str,
    vm_service: str,
    task_service: str,
    peer_listen: str,
    vm_instance: str = "",
    move_policy: str = "hysteresis",
    wave_policy: str = "many",
    log_level: str = "NOTICE",
) -> int:
    """Run maintenance waves, move VMs between pools and place jobs.

    :param name: name of this process, unique in its environment
    :param vm: name of the VM in the platform's list
    :param data_centre: data centre of the VM
    :param store: HOST:PORT of the platform's key-value store
    :param vm_service: HOST:PORT of the platform's VM service
    :param task_service: HOST:PORT of the platform's task service
    :param peer_listen: HOST:PORT to listen on for other members
    :param vm_instance: instance of the VM; taken from the platform's list if
        empty
    :param move_policy: none, threshold or hysteresis
    :param wave_policy: one or many
    :param log_level: lowest level of log lines
    """
    # Imported here to keep --help and the report of bad settings fast.
    from rosemarynotch._internal.wiring import control

    check_choice("move-policy", move_policy, control.MOVE_POLICIES)
    check_choice("wave-policy", wave_policy, control.WAVE_POLICIES)
    member = set_up_member(
        MemberKind.CONTROL,
        log_level,
        name=name,
        vm=vm,
        vm_instance=vm_instance,
        data_centre=data_centre,
        store=store,
        vm_service=vm_service,
        task_service=task_service,
        peer_listen=peer_listen,
    )
    settings = control.ControlSettings(
        member=member, move_policy=move_policy, wave_policy=wave_policy
    )
    return control.Control(settings).run(stop_event())


def main() -> None:
    """Run the program."""
    run_program(serve)


if __name__ == "__main__":
    main()
