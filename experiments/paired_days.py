"""Plays the same days with several checkouts and compares them in pairs.

Plays of one day with other seeds differ by more than most policies do, so a
difference is taken between plays of the same day and seed, and its interval
is estimated from the pairs by resampling.
"""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
import json
from pathlib import Path
import random
import statistics
import subprocess
import tempfile

import attrs
import defopt
import msgspec

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["Figures", "Play", "Result", "compare", "main", "parse_play"]

RESAMPLES = 4000
# Bounds of the interval as shares of the resampled means.
INTERVAL = (0.025, 0.975)
# A day takes about 20 s on an idle machine; grown sites take minutes.
PLAY_TIMEOUT_S = 1500.0
VM_SECONDS = "seconds of machines in pools"
MOVES = "machines moved"


@attrs.frozen
class Play:
    """A day to be played.

    :ivar seed: other luck on the same day; empty for the seed of the day
    """

    site: str
    day: str
    seed: str

    def __str__(self) -> str:
        name = f"{Path(self.site).stem}:{self.day}"
        return f"{name}:{self.seed}" if self.seed else name


@attrs.frozen(kw_only=True)
class Figures:
    """Figures of one play.

    :ivar in_time: share of the jobs owed that were in time
    :ivar vm_s: seconds of VMs in pools
    :ivar broken: rules that were broken
    """

    worth: float
    served: float
    in_time: float
    worst_class: float
    worst_windows: float
    vm_s: float
    moves: float
    broken: str = ""

    @classmethod
    def from_report(cls, report: dict) -> "Figures":
        """Read the figures from a report of the bench.

        :raises KeyError: the report is incomplete
        """
        parts = {name: value for name, _, value in report["parts"]}
        prices = {name: count for name, count, _ in report["prices"]}
        total = report["all"]
        owed = total["n"] - total["not_owed"]
        broken = [*report["breaks"]]
        if report["fault"]:
            broken.append(str(report["fault"]))
        return cls(
            worth=report["G"],
            served=report["served"],
            in_time=total["in_aim"] / max(1, owed),
            worst_class=parts.get("worst class", 0.0),
            worst_windows=parts.get("worst windows", 0.0),
            vm_s=prices.get(VM_SECONDS, 0.0),
            moves=prices.get(MOVES, 0.0),
            broken=" ".join(broken),
        )


@attrs.frozen
class Result:
    """Figures of one play by one checkout."""

    variant: str
    play: str
    figures: Figures


def main(
    *,
    bench: str,
    variants: list[str],
    plays: list[str],
    why: str,
    jobs: int = 3,
    no_cpu: bool = False,
    results: str = "",
) -> int:
    """Play days with each variant and print the paired differences.

    :param bench: the program that plays days
    :param variants: checkouts as NAME=FOLDER; the first one is the baseline
    :param plays: days as SITE:DAY or SITE:DAY:SEED
    :param why: line for the journal
    :param jobs: number of days played at a time
    :param no_cpu: do not charge processor time, so that plays mostly repeat
    :param results: file to which the figures are appended as JSON lines;
        what it already has is compared, but not played again
    """
    folders = dict(_parse_variant(each) for each in variants)
    parsed = [parse_play(each) for each in plays]

    def run(task: tuple[str, Play]) -> Result:
        variant, play = task
        figures = _play(
            bench, folders[variant], play, f"{why}: {variant}", no_cpu
        )
        print(
            f"{variant} {play} {figures.worth:.3f} {figures.broken}",
            flush=True,
        )
        return Result(variant, str(play), figures)

    found = _read_results(results)
    known = {(each.variant, each.play) for each in found}
    tasks = [
        (variant, play)
        for play in parsed
        for variant in folders
        if (variant, str(play)) not in known
    ]
    with ThreadPoolExecutor(jobs) as threads:
        for result in threads.map(run, tasks):
            found.append(result)
            _append_result(results, result)
    print(compare(found, next(iter(folders))))
    return 1 if any(each.figures.broken for each in found) else 0


def parse_play(text: str) -> Play:
    """Parse SITE:DAY or SITE:DAY:SEED.

    :raises SettingsError: the text or the site file is wrong
    """
    site, _, rest = text.partition(":")
    day, _, seed = rest.partition(":")
    if not day or (seed and not seed.isdecimal()):
        raise SettingsError(f"{text!r} is not SITE:DAY or SITE:DAY:SEED")
    if not Path(site).is_file():
        raise SettingsError(f"{site}: no such site file")
    return Play(site, day, seed)


def _parse_variant(text: str) -> tuple[str, Path]:
    name, _, folder = text.partition("=")
    path = Path(folder)
    if not name or not (path / "deploy" / "system.toml").is_file():
        raise SettingsError(f"{text!r} is not NAME=FOLDER of a checkout")
    return name, path


def _play(
    bench: str, folder: Path, play: Play, why: str, no_cpu: bool
) -> Figures:
    """Play a day and return its figures.

    :raises SettingsError: with the end of the output, if there is no report
    """
    with tempfile.TemporaryDirectory() as reports:
        report = Path(reports) / "report.json"
        command = [bench, "run", play.site, play.day, "--why", why]
        command += ["--report", str(report)]
        command += ["--seed", play.seed] if play.seed else []
        command += ["--no-cpu"] if no_cpu else []
        ended = subprocess.run(
            command,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
        )
        try:
            return Figures.from_report(json.loads(report.read_text()))
        except (OSError, ValueError, KeyError) as error:
            output = (ended.stdout + ended.stderr)[-500:]
            raise SettingsError(
                f"{play}: no usable report ({error!r}): {output}"
            ) from None


def _read_results(path: str) -> list[Result]:
    if not path or not Path(path).exists():
        return []
    found = []
    for number, line in enumerate(Path(path).read_bytes().splitlines(), 1):
        try:
            found.append(msgspec.json.decode(line, type=Result))
        except msgspec.DecodeError as error:
            raise SettingsError(f"{path}:{number}: {error}") from None
    return found


def _append_result(path: str, result: Result) -> None:
    if path:
        with open(path, "ab") as file:
            file.write(msgspec.json.encode(result) + b"\n")


def compare(results: Sequence[Result], baseline: str) -> str:
    """Return a table of the paired differences to the baseline."""
    by_variant: dict[str, dict[str, list[Figures]]] = {}
    for each in results:
        plays = by_variant.setdefault(each.variant, {})
        plays.setdefault(each.play, []).append(each.figures)
    lines = []
    base = by_variant.pop(baseline, {})
    for variant, plays in by_variant.items():
        common = [play for play in plays if play in base]
        lines.append(f"{variant} against {baseline}, {len(common)} pairs")
        for field in attrs.fields(Figures):
            if field.name == "broken" or not common:
                continue
            lines.append(
                _compare_field(
                    field.name,
                    [_mean(base[play], field.name) for play in common],
                    [_mean(plays[play], field.name) for play in common],
                )
            )
    return "\n".join(lines)


def _mean(figures: list[Figures], name: str) -> float:
    return statistics.fmean(getattr(each, name) for each in figures)


def _compare_field(name: str, base: list[float], trial: list[float]) -> str:
    differences = [b - a for a, b in zip(base, trial)]
    low, high = interval(differences)
    return (
        f"  {name:14} {statistics.fmean(base):9.3f}"
        f" {statistics.fmean(trial):9.3f}"
        f" {statistics.fmean(differences):+9.3f} [{low:+.3f}, {high:+.3f}]"
    )


def interval(
    differences: Sequence[float],
    choose: Callable[..., list[float]] = random.Random(1).choices,
) -> tuple[float, float]:
    """Return the 95 % interval of the mean of paired differences."""
    means = sorted(
        statistics.fmean(choose(differences, k=len(differences)))
        for _ in range(RESAMPLES)
    )
    low, high = (means[int(share * (RESAMPLES - 1))] for share in INTERVAL)
    return low, high


if __name__ == "__main__":
    defopt.run(main)
