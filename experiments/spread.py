"""How long a change of the configuration takes to be in force everywhere.

Each change replaces the key of a team. It is in force at an entry once the
entry takes the new key and refuses the old one. Three ways are measured:
members are told of the change at once, the hint to them is lost, and one
entry is cut off from the store, so that it can only learn from its peers.
"""

import concurrent.futures
import http.client
import time

import attrs
import defopt

from experiments.setting import Setting
from experiments.setting import Shape
from rosemarynotch._internal.configuration import make_key

__all__ = ["main"]

TEAM = "team-0"
POOL = "pool"
BOUND_S = 18.0
# Ends a run in which a change does not arrive.
GIVE_UP_S = 60.0
POLL_S = 0.1
CALL_S = 5.0
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
    :param changes: changes of each case
    :param teams: number of teams
    :param settle_s: time in which members hear of each other
    """
    print(f"entries  case       mean s  longest s   (bound {BOUND_S:.0f} s)")
    for count in (int(each) for each in entries.split(",")):
        shape = Shape(
            shares={f"team-{n}": 1.0 for n in range(teams)},
            entries=count,
            controls=count,
            settle_s=settle_s,
            cut_entries=1,
        )
        with Setting(shape) as setting:
            for case in cases.split(","):
                times_s = [_measure(setting, case) for _ in range(changes)]
                print(
                    f"{count:7}  {case:10} "
                    f"{sum(times_s) / len(times_s):6.2f} "
                    f"{max(times_s):10.2f}",
                    flush=True,
                )


def _measure(setting: Setting, case: str) -> float:
    """Make one change; return the time until the last entry follows it."""
    old = setting.keys[TEAM]
    new, spec = make_key(TEAM, "k1")
    teams = tuple(
        attrs.evolve(team, keys=(spec,)) if team.name == TEAM else team
        for team in setting.document.teams
    )
    setting.document = attrs.evolve(setting.document, teams=teams)
    if case == "entry-cut":
        setting.set_store_fault("drop")
    setting.apply(setting.document, is_announced=case != "hint-lost")
    start_s = time.monotonic()
    setting.keys[TEAM] = new
    addresses = setting.caller_addresses
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        ends_s = pool.map(
            lambda address: _wait_for_change(address, old, new), addresses
        )
        longest_s = max(ends_s) - start_s
    if case == "entry-cut":
        setting.set_store_fault("up")
        time.sleep(setting.shape.settle_s / 3)
    return longest_s


def _wait_for_change(address: str, old: str, new: str) -> float:
    """Return when an entry takes the new key and refuses the old one."""
    end_s = time.monotonic() + GIVE_UP_S
    while time.monotonic() < end_s:
        if _status(address, new) == 200 and _status(address, old) == 401:
            return time.monotonic()
        time.sleep(POLL_S)
    raise RuntimeError(f"{address} does not follow the change")


def _status(address: str, key: str) -> int:
    """Return the status of a short request with a key."""
    connection = http.client.HTTPConnection(address, timeout=CALL_S)
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
