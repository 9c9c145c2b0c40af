"""Judges a run from outside, by the ledgers of the stand-ins."""

from collections import Counter

from rosemarynotch._internal.models.document import Document

__all__ = ["check_fleet", "check_requests"]


def check_requests(
    results: list[dict], ledger: dict, document: Document
) -> list[str]:
    """Compare what callers were told with what ran.

    :param results: lines of the replay tool
    :param ledger: of the targets
    :returns: what is wrong, in words
    """
    runs = Counter(ledger["runs_by_id"])
    problems = []
    for request_id in sorted({each["request_id"] for each in results}):
        told = [each for each in results if each["request_id"] == request_id]
        problems += _check_request(request_id, told, runs[request_id])
    interrupted = sum(each["interrupted"] for each in ledger["requests"])
    if interrupted:
        problems.append(f"{interrupted} requests interrupted")
    for team in document.teams:
        most = ledger["max_running_by_team"].get(team.name, 0)
        if most > team.limit_requests:
            limit = team.limit_requests
            problems.append(f"{team.name}: {most} running, limit {limit}")
    return problems


def _check_request(request_id, told, runs) -> list[str]:
    """Check the runs of one request.

    :param told: the outcome of the request and of its repeats
    """
    answered = any(each["code"] == "answered" for each in told)
    not_run = all(each["ran"] == "no" for each in told)
    if not_run and runs:
        return [f"{request_id}: ran, but told not run"]
    if answered and not runs:
        return [f"{request_id}: answered, but did not run"]
    if runs > 1 and not told[0]["idempotent"]:
        return [f"{request_id}: ran {runs} times"]
    return []


def check_fleet(
    events: list[dict], document: Document, wave: str
) -> list[str]:
    """Check a wave: each VM rebooted once, never below the budget.

    :param events: ledger of the platform
    :returns: what is wrong, in words
    """
    problems = []
    spec = document.wave(wave)
    for pool in (document.pool(name) for name in spec.pools):
        names = {vm.name for vm in pool.vms}
        out: set[str] = set()
        reboots: Counter[str] = Counter()
        for event in events:
            if event.get("vm") not in names:
                continue
            if event["kind"] in ("drain", "reboot-start"):
                out.add(event["vm"])
            elif event["kind"] in ("undrain", "reboot-end"):
                out.discard(event["vm"])
            reboots[event["vm"]] += event["kind"] == "reboot-start"
            if len(names) - len(out) < pool.min_available_vms:
                problems.append(f"{pool.name}: {len(out)} VMs out at once")
        wrong = [name for name in sorted(names) if reboots[name] != 1]
        problems += [f"{name}: {reboots[name]} reboots" for name in wrong]
    return problems
