"""Stand-in for targets: services with slots, connections and faults."""

import signal
import threading

import defopt

from standins.target_server import TargetProcess

__all__ = ["main"]


def main(
    *,
    listen: str = "127.0.0.1:7700",
    admin_listen: str = "",
    slots: int = 8,
    connections: int = 64,
) -> None:
    """Serve one target per address.

    :param listen: addresses, separated by commas
    :param admin_listen: takes admin calls also while all targets are down
    :param slots: requests that a target runs at the same time
    :param connections: connections that a target serves
    """
    process = TargetProcess(slots, connections)
    for address in listen.split(","):
        process.add(address)
    if admin_listen:
        process.add(admin_listen)
    print(f"listening on {listen}", flush=True)
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    ended.wait()


if __name__ == "__main__":
    defopt.run(main)
