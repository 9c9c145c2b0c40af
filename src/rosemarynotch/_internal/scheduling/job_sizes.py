"""Upper estimates of the memory that the leader uses for a job.

They follow from the job alone, so that a node can tell before it accepts a
job what the job will take in the leader.
"""

from rosemarynotch._internal.scheduling.model import JobSpec

__all__ = [
    "ENDED_ROW_BYTES",
    "ended_bytes",
    "occurrence_bytes",
    "spec_bytes",
    "TASK_BYTES",
]

# Bytes of a job without its steps, with its estimates and index entries.
JOB_BYTES = 2_800
# The same once it has ended, without its payload.
ENDED_JOB_BYTES = 2_400
# All that is kept of it some time later.
ENDED_ROW_BYTES = 600
# Bytes of a step as submitted, of the same step in an occurrence that is held,
# and of such an occurrence without its steps.
STEP_SPEC_BYTES = 450
STEP_BYTES = 450
OCCURRENCE_BYTES = 400
# Bytes of a task that is held, with its run.
TASK_BYTES = 1_200
# Bytes of a number of another step.
NUMBER_BYTES = 8
# Bytes of a character of a text with other characters than ASCII.
CHARACTER_BYTES = 4


def spec_bytes(spec: JobSpec) -> int:
    """Return what a job takes of which one occurrence is held.

    :returns: bytes, without its runs
    """
    # One bit for each task of the occurrence, and for each occurrence.
    bits = spec.repeat_count + sum(step.task_count for step in spec.steps)
    return (
        JOB_BYTES
        + _text_bytes(spec.payload)
        + _steps_bytes(spec)
        + bits // 8
        + occurrence_bytes(spec)
    )


def ended_bytes(spec: JobSpec) -> int:
    """Return what a job takes in bytes after its end."""
    return ENDED_JOB_BYTES + _steps_bytes(spec)


def occurrence_bytes(spec: JobSpec) -> int:
    """Return what an occurrence takes in bytes, without its tasks."""
    return OCCURRENCE_BYTES + len(spec.steps) * STEP_BYTES


def _steps_bytes(spec: JobSpec) -> int:
    return sum(
        STEP_SPEC_BYTES
        + _text_bytes(step.required_label)
        + _text_bytes(step.data_rack)
        + _text_bytes(step.image)
        + len(step.after) * NUMBER_BYTES
        for step in spec.steps
    )


def _text_bytes(text: str) -> int:
    return len(text) * (1 if text.isascii() else CHARACTER_BYTES)
