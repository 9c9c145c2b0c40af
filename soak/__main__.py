"""Command line of the soak test: ``python -m soak --help``."""

from pathlib import Path
import sys
import tempfile

import defopt

from soak.runner import run_soak
from soak.runner import SoakSettings


def soak(
    *,
    first_seed: int = 1,
    seeds: int = 5,
    duration_s: float = 20.0,
    nodes: int = 3,
    callers: int = 6,
    logs: Path = Path(tempfile.gettempdir()),
) -> int:
    """Run seeds one after the other; exit with 1 on any violation.

    :param first_seed: the first seed
    :param seeds: number of seeds
    :param duration_s: seconds of fault injection in each run
    :param nodes: number of node processes
    :param callers: number of concurrent callers
    :param logs: folder under which the logs of each run are kept
    """
    failed_count = 0
    for seed in range(first_seed, first_seed + seeds):
        settings = SoakSettings(
            seed=seed,
            duration_s=duration_s,
            node_count=nodes,
            caller_count=callers,
        )
        result = run_soak(settings, logs)
        print(
            f"seed {seed}: {result.job_count} jobs, {result.run_count} runs, "
            f"{len(result.violations)} violations",
            flush=True,
        )
        if result.violations:
            failed_count += 1
            for line in (*result.timeline, *result.violations):
                print(f"  {line}")
            print(f"  logs in {result.log_folder}", flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
