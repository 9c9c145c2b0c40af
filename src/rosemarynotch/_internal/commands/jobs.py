"""Commands for jobs."""

from rosemarynotch._internal.commands.options import change_command
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.options import read_command
from rosemarynotch._internal.commands.session import Session

__all__ = ["cancel_job", "list_jobs"]


@read_command
def list_jobs(session: Session, output: Output, *, team: str = ""):
    """List jobs.

    :param team: list only jobs of this team
    """
    answer = session.get(f"/v1/jobs?team={team}")
    lines = []
    for job in answer["jobs"]:
        words = [job["state"], job["team"], job["queue"], job["worker"]]
        if job["reason"] not in ("", job["state"]):
            words.append(job["reason"])
        lines += [" ".join(filter(None, words)), f"  {job['job_id']}"]
    output.show(answer, "\n".join(lines) or "no jobs")


@change_command
def cancel_job(
    session: Session,
    output: Output,
    options: ChangeOptions,
    job: str,
    *,
    team: str,
):
    """Cancel a job.

    :param job: identifier of the job
    :param team: the team that the job belongs to
    """
    answer = session.post(f"/v1/jobs/{job}/cancel", options.body(team=team))
    output.show(answer, f"accepted\nchange id {options.change_id}")
