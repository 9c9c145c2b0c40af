"""Measures how closely service follows shares with uneven callers.

Entries run in one process on simulated time. Each has its own share table;
heartbeats pass the demand rows between them. All teams always have more
requests than the pool can run, but the callers of one team are all at one
entry, and those of another are at the five others.
"""

import random

import attrs

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.peers.rows import HeartbeatDecoder
from rosemarynotch._internal.peers.rows import HeartbeatEncoder
from rosemarynotch._internal.policy.shares import ShareTable
from rosemarynotch._internal.policy.shares import WeightedMaxMin
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["run_trial", "Team", "TrialResult"]

POOL = "settlement"
ENTRIES_COUNT = 6
POOL_SLOTS = 48
STEP_S = 0.005
UPDATE_STEPS = 40
# 2.4 s, longer than the heartbeat period of 6 entries, which is 1.75 s.
HEARTBEAT_STEPS = 480
# The first part of a run is not counted: entries have to receive heartbeats
# from each other, and the window of the deficits has to fill.
WARM_UP_S = 40.0


@attrs.frozen
class Team:
    """A team of the trial.

    :ivar callers: number of callers by entry; each sends its next request
        as soon as it has received the answer
    """

    name: str
    share: float
    worth: float
    mean_run_s: float
    callers: tuple[int, ...]


TEAMS = (
    Team("fort", 8, 1.0, 0.05, (120, 0, 0, 0, 0, 0)),
    Team("ernakulam", 5, 3.0, 0.08, (0, 24, 24, 24, 24, 24)),
    Team("aluva", 3, 1.0, 0.03, (40, 5, 5, 10, 0, 20)),
    Team("vypin", 2, 0.5, 0.05, (10, 10, 10, 10, 10, 10)),
    Team("chellanam", 1, 2.0, 0.20, (0, 0, 30, 1, 1, 0)),
    Team("kumbalangi", 1, 1.0, 0.05, (3, 0, 0, 25, 0, 2)),
)


@attrs.frozen
class TrialResult:
    """Relative distances of served worth from the shares, by team.

    :ivar busy_fraction: fraction of the pool's slots in use
    :ivar overcommitted_fraction: requests that ran beyond the pool's slots,
        as a fraction of the slots
    """

    distances: dict[str, float]
    busy_fraction: float
    overcommitted_fraction: float

    @property
    def mean(self) -> float:
        """Return the mean distance over teams."""
        return sum(self.distances.values()) / len(self.distances)

    @property
    def worst(self) -> float:
        """Return the largest distance of a team."""
        return max(self.distances.values())


class _SimulatedClock(Clock):
    """Clock that the trial advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s

    def sleep(self, delay_s: float) -> None:
        self.now_s += delay_s


@attrs.define
class _TeamLoad:
    """Queue and running requests of one team at one entry."""

    team: Team
    queued: int
    remaining_s: list[float] = attrs.field(factory=list)
    served_worth: float = 0.0
    slot_s: float = 0.0

    def row(self) -> DemandRow:
        return DemandRow(
            pool=POOL,
            team=self.team.name,
            queued_requests=self.queued,
            running_requests=len(self.remaining_s),
            served_worth=self.served_worth,
            slot_s=self.slot_s,
        )


class _Entry:
    """Simulated entry with a share table of the product."""

    def __init__(self, number, teams, table, rng) -> None:
        self.name = f"entry-{number}"
        self.table = table
        self.loads = [
            _TeamLoad(team, team.callers[number])
            for team in teams
            if team.callers[number]
        ]
        self._rng = rng
        self._sequence = 0
        self.encoder = HeartbeatEncoder()
        self.decoder = HeartbeatDecoder()

    def rows(self) -> tuple[DemandRow, ...]:
        return tuple(load.row() for load in self.loads)

    def heartbeat(self) -> Heartbeat:
        self._sequence += 1
        return Heartbeat(
            sender=self.name,
            incarnation="1",
            sequence=self._sequence,
            members_revision=1,
            config_version=1,
            fleet_revision=1,
            store_age_s=0.0,
            demand=self.rows(),
        )

    def start_requests(self) -> None:
        """Start queued requests as far as the share table allows.

        The team with the least served worth relative to its share comes
        first. The spare slots limit the requests that all teams run in excess
        of their own slots.
        """
        excess = sum(
            max(0, len(load.remaining_s) - self._slots(load))
            for load in self.loads
        )
        spare = self.table.spare_slots(POOL)
        for load in sorted(
            self.loads, key=lambda load: load.served_worth / load.team.share
        ):
            while load.queued:
                if len(load.remaining_s) >= self._slots(load):
                    excess += 1
                    if excess > spare:
                        break
                load.queued -= 1
                run_s = self._rng.expovariate(1 / load.team.mean_run_s)
                load.remaining_s.append(run_s)

    def run(self, speed: float) -> None:
        """Advance the running requests by a step.

        :param speed: fraction of the full speed, below 1 if more requests run
            than the pool has slots
        """
        for load in self.loads:
            load.slot_s += len(load.remaining_s) * STEP_S
            remaining_s = [
                remaining_s - STEP_S * speed
                for remaining_s in load.remaining_s
            ]
            load.remaining_s = [
                remaining_s for remaining_s in remaining_s if remaining_s > 0
            ]
            done = len(remaining_s) - len(load.remaining_s)
            load.served_worth += done * load.team.worth
            load.queued += done

    def _slots(self, load: _TeamLoad) -> float:
        return self.table.slots(POOL, load.team.name)


def run_trial(
    exchanged: bool,
    duration_s: float = 60.0,
    seed: int = 1,
    teams: tuple[Team, ...] = TEAMS,
    deficit_gain: float | None = None,
) -> TrialResult:
    """Run the trial.

    :param exchanged: whether heartbeats are delivered; without them each
        entry uses an equal fraction of the pool, which is the baseline
    :param deficit_gain: setting of the share policy, None for its default
    """
    clock = _SimulatedClock()
    entries = _make_entries(clock, teams, seed, deficit_gain)
    warm_up_steps = int(WARM_UP_S / STEP_S)
    worth_before: dict[str, float] = {}
    busy = overcommitted = 0.0
    steps = int((WARM_UP_S + duration_s) / STEP_S)
    for step in range(steps):
        clock.now_s = step * STEP_S
        for number, entry in enumerate(entries):
            if (step + 7 * number) % UPDATE_STEPS == 0:
                entry.table.update(entry.rows())
            if exchanged and (step + 73 * number) % HEARTBEAT_STEPS == 0:
                _deliver(entry, entries)
            entry.start_requests()
        running = sum(
            len(load.remaining_s) for entry in entries for load in entry.loads
        )
        for entry in entries:
            entry.run(min(1.0, POOL_SLOTS / max(1, running)))
        if step == warm_up_steps:
            worth_before = _served_worth(entries)
        elif step > warm_up_steps:
            busy += min(running, POOL_SLOTS)
            overcommitted += max(0, running - POOL_SLOTS)
    slot_steps = POOL_SLOTS * (steps - warm_up_steps - 1)
    return TrialResult(
        _distances(teams, worth_before, _served_worth(entries)),
        busy / slot_steps,
        overcommitted / slot_steps,
    )


def _make_entries(clock, teams, seed, deficit_gain) -> list[_Entry]:
    names = [f"entry-{number}" for number in range(ENTRIES_COUNT)]
    shares = {team.name: team.share for team in teams}
    policy = WeightedMaxMin()
    if deficit_gain is not None:
        policy = WeightedMaxMin(deficit_gain)
    return [
        _Entry(
            number,
            teams,
            ShareTable(
                name,
                policy,
                clock,
                lambda pool: POOL_SLOTS,
                shares.__getitem__,
                lambda: names,
            ),
            random.Random(100 * seed + number),
        )
        for number, name in enumerate(names)
    ]


def _deliver(sender: _Entry, entries: list[_Entry]) -> None:
    sent = sender.heartbeat()
    data = sender.encoder.encode(sent)
    sender.table.record_sent_heartbeat(
        attrs.evolve(sent, demand=sender.encoder.sent_rows())
    )
    for entry in entries:
        if entry is not sender:
            heartbeat = entry.decoder.decode(data, lambda _: True)
            entry.table.record_heartbeat(heartbeat)


def _served_worth(entries: list[_Entry]) -> dict[str, float]:
    worth: dict[str, float] = {}
    for entry in entries:
        for load in entry.loads:
            name = load.team.name
            worth[name] = worth.get(name, 0.0) + load.served_worth
    return worth


def _distances(teams, before, after) -> dict[str, float]:
    served = {name: after[name] - before[name] for name in after}
    total = sum(served.values())
    shares = sum(team.share for team in teams)
    return {
        team.name: abs(served[team.name] / total * shares / team.share - 1)
        for team in teams
    }


def main() -> None:
    """Print the distances with and without exchanged heartbeats."""
    for name, exchanged in (("equal split", False), ("exchanged", True)):
        for seed in (1, 2, 3):
            result = run_trial(exchanged, seed=seed)
            print(
                f"{name:12} seed {seed}: mean {100 * result.mean:5.1f} %, "
                f"worst {100 * result.worst:5.1f} %, "
                f"busy {100 * result.busy_fraction:5.1f} %, "
                f"over {100 * result.overcommitted_fraction:4.1f} %"
            )


if __name__ == "__main__":
    main()
