"""Stand-in for targets: services with slots, connections and faults.

A request to any other path works as its headers say, or its query:
``X-Work-Ms`` (``work_ms``), ``X-Answer-Bytes``, ``X-Request-Id`` and
``X-Status``; the team is ``Rosemarynotch-Team``, or else ``X-Team``.

Admin calls are for the target that is called, or for that of
``?address=``, and are answered whatever the fault:

* ``POST /admin/drain|undrain|down|up``, ``POST /admin/reboot?down_ms=``;
* ``POST /admin/fault``: fields of :class:`standins.target_state.Fault`;
* ``POST /admin/clear``: forget the ledger;
* ``GET /ledger``: requests that ran, and counts; ``GET /stats``.
"""

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
