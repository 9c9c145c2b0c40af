"""Tests of the measurement of control passes with jobs."""

import pytest

from rosemarynotch._internal.replay.job_pass_cost import job_pass_cost


@pytest.mark.parametrize("ends", [False, True])
def test_measured_jobs_run(ends):
    """Guards against measuring passes in which the jobs do not run."""
    cost = job_pass_cost(40, ends, seed=2, passes=20)

    assert cost.running == 40
    assert cost.task_bytes > 0 and cost.shard_bytes > 0
    assert (cost.store_bytes > 100) is ends
