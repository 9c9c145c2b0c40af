"""Commands that show the configuration history, status and report."""

import time

from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.options import read_command
from rosemarynotch._internal.commands.session import Session

__all__ = ["change", "history", "report", "status"]

SHORT_DIGEST_LENGTH = 12


@read_command
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
        lines.append(
            f"  {item['digest'][:SHORT_DIGEST_LENGTH]} {item['change_id']}"
        )
    output.show(answer, "\n".join(lines) or "no version yet")


@read_command
def change(session: Session, output: Output, change_id: str):
    """Show whether a change of the configuration is accepted and in force.

    :param change_id: change id of the change
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


@read_command
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
            # Control processes send heartbeats only while they lead.
            is_leading = (
                age_s is not None and age_s <= snapshot["silent_after_s"]
            )
            age = (
                f"leads, {age}"
                if is_leading
                else "control, on standby or gone"
            )
        lines.append(
            f"member {member['name']}: v{member['config_version']}, {age}"
        )
    output.show(answer, "\n".join(lines))


@read_command
def report(session: Session, output: Output, *, html: bool = False):
    """Show the report.

    :param html: show it as HTML with histograms, for a browser
    """
    path = "/v1/report?format=html" if html else "/v1/report"
    text = session.get(path)
    output.show({"report": text}, text)
