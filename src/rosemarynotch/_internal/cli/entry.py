"""The program ``rosemarynotch-entry``."""

from rosemarynotch._internal.cli.programs import check_choice
from rosemarynotch._internal.cli.programs import set_up_member
from rosemarynotch._internal.cli.programs import stop_event
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.utils.settings import run_program

__all__ = ["main"]

MIN_CALLER_THREADS = 32
MAX_CALLER_THREADS = 1024


def serve(
    *,
    name: str,
    vm: str,
    data_centre: str,
    store: str,
    vm_service: str,
    task_service: str,
    caller_listen: str,
    operator_listen: str,
    peer_listen: str,
    operator_keys: str,
    environment: str = "trial",
    is_trial: bool = False,
    vm_instance: str = "",
    caller_threads: int = 512,
    share_policy: str = "max-min",
    order: str = "worth-over-share",
    router: str = "own-slots",
    balancer_notice_s: float = 5.0,
    log_level: str = "NOTICE",
) -> int:
    """Admit requests of callers and forward them to targets.

    :param name: name of this entry, unique in its environment
    :param vm: name of the VM in the platform's list
    :param data_centre: data centre of the VM
    :param store: HOST:PORT of the platform's key-value store
    :param vm_service: HOST:PORT of the platform's VM service
    :param task_service: HOST:PORT of the platform's task service
    :param caller_listen: HOST:PORT to listen on for callers
    :param operator_listen: HOST:PORT to listen on for operators
    :param peer_listen: HOST:PORT to listen on for other members
    :param operator_keys: keys of operators, each as
        operator:key-id:salt:digest, separated by commas
    :param environment: name of the environment, for reports
    :param is_trial: whether documents may be tried in this environment
    :param vm_instance: instance of the VM; taken from the platform's list if
        empty
    :param caller_threads: number of requests that can be queued or running
        at a time
    :param share_policy: max-min, or the baselines equal and local
    :param order: worth-over-share, or the baselines fifo and round-robin
    :param router: own-slots, or the baselines two-choices, least-in-flight
        and random
    :param balancer_notice_s: when stopping, time in seconds between the first
        failed health probe and the closing of the port
    :param log_level: lowest level of log lines
    """
    # Imported here to keep --help and the report of bad settings fast.
    from rosemarynotch._internal.wiring import entry

    check_choice("share-policy", share_policy, entry.SHARE_POLICIES)
    check_choice("order", order, entry.ORDERS)
    check_choice("router", router, entry.ROUTERS)
    if not MIN_CALLER_THREADS <= caller_threads <= MAX_CALLER_THREADS:
        raise SettingsError(
            f"caller-threads: {caller_threads} is not between "
            f"{MIN_CALLER_THREADS} and {MAX_CALLER_THREADS}"
        )
    if balancer_notice_s < 0:
        raise SettingsError("balancer-notice-s: must not be negative")
    member = set_up_member(
        MemberKind.ENTRY,
        log_level,
        name=name,
        vm=vm,
        vm_instance=vm_instance,
        data_centre=data_centre,
        store=store,
        vm_service=vm_service,
        task_service=task_service,
        peer_listen=peer_listen,
        operator_listen=operator_listen,
    )
    settings = entry.EntrySettings(
        member=member,
        environment=environment,
        is_trial=is_trial,
        caller_listen=caller_listen,
        operator_keys=operator_keys,
        caller_threads=caller_threads,
        share_policy=share_policy,
        order=order,
        router=router,
        balancer_notice_s=balancer_notice_s,
    )
    return entry.Entry(settings).run(stop_event())


def main() -> None:
    """Run the program."""
    run_program(serve)


if __name__ == "__main__":
    main()
