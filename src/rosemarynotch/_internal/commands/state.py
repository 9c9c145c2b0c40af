"""Commands that show the state."""

import time

from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.options import reads
from rosemarynotch._internal.commands.session import Session

__all__ = ["change", "history", "report", "status"]

SHORT_DIGEST = 12


@reads
def history(session: Session, output: Output):
    """Show the newest versions of the configuration."""
    answer = session.get("/v1/config/history")
    lines = []
    for item in answer["versions"]:
        when = time.gmtime(item["accepted_at_s"])
        lines.append(
            f"v{item['version']} {time.strftime('%d %b %H:%M', when)}"
            f" {item['operator']}: {item['reason']}"
        )
        lines.append(f"  {item['digest'][:SHORT_DIGEST]} {item['change_id']}")
    output.show(answer, "\n".join(lines) or "no version yet")


@reads
def change(session: Session, output: Output, change_id: str):
    """Tell what became of a change of the configuration.

    :param change_id: the id that the change was made with
    """
    answer = session.get(f"/v1/config/changes/{change_id}")
    output.show(
        answer,
        f"accepted: version {answer['version']}\n"
        f"in force on {answer['in_force']} of {answer['members']}",
    )
    if answer["in_force"] < answer["members"]:
        return Exit.NOT_YET_EVERYWHERE
    return Exit.DONE


@reads
def status(session: Session, output: Output):
    """Show all findings, pools, teams, waves and members."""
    answer = session.get("/v1/status")
    snapshot = answer["snapshot"]
    lines = [
        f"! {item['promise']} {item['text']} [{item['alarm']}]".replace(
            "!  ", "! "
        )
        for item in answer["findings"]
    ]
    lines += [
        f"pool {pool['name']}: {pool['serving_vms']}/{pool['total_vms']} VMs,"
        f" min {pool['min_available_vms']},"
        f" {pool['running_requests']} running,"
        f" {pool['queued_requests']} waiting"
        for pool in snapshot["pools"]
    ]
    lines += [
        f"team {team['name']}: {team['running_requests']} of"
        f" {team['limit_requests']}, {team['queued_requests']} waiting"
        for team in snapshot["teams"]
    ]
    lines += [
        f"VM {vm['name']}: {vm['state']}, {vm['running_requests']} running"
        for vm in snapshot["vms_out"]
    ]
    lines += [
        f"wave {wave['name']}: {wave['state']}, {wave['done_vms']} of"
        f" {wave['total_vms']}"
        for wave in snapshot["waves"]
    ]
    for member in snapshot["members"]:
        age_s = member["heard_age_s"]
        age = "never heard" if age_s is None else f"heard {age_s:.1f} s ago"
        if member["kind"] != "entry":
            # Other controls send no heartbeats.
            leads = age_s is not None and age_s <= snapshot["silent_after_s"]
            age = f"leads, {age}" if leads else "control, on standby or gone"
        lines.append(
            f"member {member['name']}: v{member['config_version']}, {age}"
        )
    output.show(answer, "\n".join(lines))


@reads
def report(session: Session, output: Output, *, html: bool = False):
    """Show the report.

    :param html: with histograms, for a browser
    """
    path = "/v1/report?format=html" if html else "/v1/report"
    text = session.get(path)
    output.show({"report": text}, text)
