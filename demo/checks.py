"""Checks requests and waves of a run against the stand-ins' ledgers."""

from collections import Counter

from rosemarynotch._internal.models.document import Document

__all__ = ["check_fleet", "check_requests"]


def check_requests(
    results: list[dict], ledger: dict, document: Document
) -> list[str]:
    """Compare the outcomes that callers got with the requests that ran.

    :param results: decoded result lines of the replay tool
    :param ledger: ledger of the targets
    :returns: descriptions of the problems found
    """
    runs = Counter(ledger["runs_by_id"])
    problems = []
    for request_id in sorted({each["request_id"] for each in results}):
        outcomes = [
            each for each in results if each["request_id"] == request_id
        ]
        problems += _check_request(request_id, outcomes, runs[request_id])
    interrupted = sum(each["interrupted"] for each in ledger["requests"])
    if interrupted:
        problems.append(f"{interrupted} requests interrupted")
    for team in document.teams:
        peak = ledger["max_running_by_team"].get(team.name, 0)
        if peak > team.limit_requests:
            limit = team.limit_requests
            problems.append(f"{team.name}: {peak} running, limit {limit}")
    return problems


def _check_request(request_id, outcomes, runs) -> list[str]:
    """Check the runs of one request.

    :param outcomes: results of the request and of its repeats
    :param runs: number of runs in the ledger
    """
    answered = any(each["code"] == "answered" for each in outcomes)
    not_run = all(each["ran"] == "no" for each in outcomes)
    if not_run and runs:
        return [f"{request_id}: ran, but was reported as not run"]
    if answered and not runs:
        return [f"{request_id}: answered, but did not run"]
    if runs > 1 and not outcomes[0]["idempotent"]:
        return [f"{request_id}: ran {runs} times"]
    return []


def check_fleet(
    events: list[dict], document: Document, wave: str
) -> list[str]:
    """Check that a wave rebooted each VM once and kept to the budgets.

    :param events: ledger of the platform
    :returns: descriptions of the problems found
    """
    problems = []
    spec = document.wave(wave)
    for pool in (document.pool(name) for name in spec.pools):
        names = {vm.name for vm in pool.vms}
        unavailable: set[str] = set()
        reboots: Counter[str] = Counter()
        for event in events:
            if event.get("vm") not in names:
                continue
            if event["kind"] in ("drain", "reboot-start"):
                unavailable.add(event["vm"])
            elif event["kind"] in ("undrain", "reboot-end"):
                unavailable.discard(event["vm"])
            reboots[event["vm"]] += event["kind"] == "reboot-start"
            if len(names) - len(unavailable) < pool.min_available_vms:
                problems.append(
                    f"{pool.name}: {len(unavailable)} VMs unavailable at once"
                )
        wrong = [name for name in sorted(names) if reboots[name] != 1]
        problems += [f"{name}: {reboots[name]} reboots" for name in wrong]
    return problems
