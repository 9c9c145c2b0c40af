"""Measures the time until a configuration change is in force everywhere.

Each change replaces the key of a team. It is in force at an entry once the
entry accepts the new key and refuses the old one. Three cases are measured:
members are notified of the change at once, the notification is lost, and one
entry is disconnected from the store and can only learn from its peers.
"""

import concurrent.futures
import http.client
import time

import attrs
import defopt

from experiments.setting import Testbed
from experiments.setting import TestbedShape
from rosemarynotch._internal.configuration import make_key

__all__ = ["main"]

TEAM = "team-0"
POOL = "pool"
BOUND_S = 18.0
# The run fails if a change does not reach an entry within this time.
CHANGE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 5.0
CASES = ("told", "hint-lost", "entry-cut")


def main(
    *,
    entries: str = "6,30",
    cases: str = ",".join(CASES),
    changes: int = 5,
    teams: int = 6,
    settle_s: float = 30.0,
) -> None:
    """Print the time until changes are in force at all entries.

    :param entries: numbers of entries, separated by commas; as many control
        processes are started
    :param cases: told, hint-lost and entry-cut, separated by commas
    :param changes: number of changes in each case
    :param teams: number of teams
    :param settle_s: time for members to find each other before the first
        change
    """
    print(f"entries  case       mean s  longest s   (bound {BOUND_S:.0f} s)")
    for count in (int(each) for each in entries.split(",")):
        shape = TestbedShape(
            shares={f"team-{n}": 1.0 for n in range(teams)},
            entries=count,
            controls=count,
            settle_s=settle_s,
            cut_entries=1,
        )
        with Testbed(shape) as testbed:
            for case in cases.split(","):
                times_s = [_measure(testbed, case) for _ in range(changes)]
                print(
                    f"{count:7}  {case:10} "
                    f"{sum(times_s) / len(times_s):6.2f} "
                    f"{max(times_s):10.2f}",
                    flush=True,
                )


def _measure(testbed: Testbed, case: str) -> float:
    """Make one change and return the time until all entries apply it."""
    old = testbed.keys[TEAM]
    new, spec = make_key(TEAM, "k1")
    teams = tuple(
        attrs.evolve(team, keys=(spec,)) if team.name == TEAM else team
        for team in testbed.document.teams
    )
    testbed.document = attrs.evolve(testbed.document, teams=teams)
    if case == "entry-cut":
        testbed.set_store_fault("drop")
    testbed.apply(testbed.document, is_announced=case != "hint-lost")
    start_s = time.monotonic()
    testbed.keys[TEAM] = new
    addresses = testbed.caller_addresses
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        ends_s = pool.map(
            lambda address: _wait_for_change(address, old, new), addresses
        )
        longest_s = max(ends_s) - start_s
    if case == "entry-cut":
        testbed.set_store_fault("up")
        time.sleep(testbed.shape.settle_s / 3)
    return longest_s


def _wait_for_change(address: str, old: str, new: str) -> float:
    """Wait until an entry accepts the new key and refuses the old one.

    :returns: the time at which it did
    """
    end_s = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < end_s:
        if _status(address, new) == 200 and _status(address, old) == 401:
            return time.monotonic()
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"{address} did not apply the change in time")


def _status(address: str, key: str) -> int:
    """Send a request without work with a key; return the HTTP status."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Request-Id": "probe",
            "X-Work-Ms": "0",
        }
        connection.request("GET", f"/s/{POOL}/work", headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


if __name__ == "__main__":
    defopt.run(main)
