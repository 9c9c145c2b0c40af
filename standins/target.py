"""Stand-in for targets: services with slots, connections and faults.

A request to a path other than those below is run as work. Headers, or
query parameters which take precedence over them, describe the work:
``X-Work-Ms`` (``work_ms``), ``X-Answer-Bytes``, ``X-Request-Id`` and
``X-Status``. The team is taken from ``Rosemarynotch-Team``, or else from
``X-Team``.

Admin calls apply to the target with the address of ``?address=``, by
default to the target that is called. Faults do not affect them:

* ``POST /admin/drain|undrain|down|up``, ``POST /admin/reboot?down_ms=``;
* ``POST /admin/fault``: fields of :class:`standins.target_state.Fault`;
* ``POST /admin/clear``: clear the ledger;
* ``GET /ledger``: requests that ran, and counters; ``GET /stats``: state
  of all targets of the process.
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

    :param listen: addresses of the targets, separated by commas
    :param admin_listen: address for admin calls, even if all targets are down
    :param slots: number of requests that a target runs at the same time
    :param connections: number of connections that a target serves
    """
    process = TargetProcess(slots, connections)
    for address in listen.split(","):
        process.add(address)
    if admin_listen:
        process.add(admin_listen)
    print(f"listening on {listen}", flush=True)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()


if __name__ == "__main__":
    defopt.run(main)
