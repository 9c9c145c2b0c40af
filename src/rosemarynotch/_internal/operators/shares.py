"""Measurement of the served worth of teams relative to their shares."""

import collections
import threading

import attrs

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.operators.snapshot import ShareState
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ShareMeter"]

# The target for shares applies to periods of one minute.
WINDOW_S = 60.0
SAMPLE_INTERVAL_S = 5.0
# With fewer samples, bursts dominate the result.
MIN_SAMPLES = 6

Row = tuple[str, str]  # pool and team


@attrs.frozen(kw_only=True)
class _Sample:
    time_s: float
    served: dict[Row, float]
    queued: dict[Row, int]


class ShareMeter:
    """Compares the served worth of teams with their shares.

    It covers the last minute and only teams with queued requests in every
    sample, since the demand of the other teams was met.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._samples: collections.deque[_Sample] = collections.deque()
        self._last: dict[tuple[str, str], dict[Row, float]] = {}

    def is_due(self) -> bool:
        """Return whether the next sample is due."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return (
                not self._samples
                or now_s - self._samples[-1].time_s >= SAMPLE_INTERVAL_S
            )

    def is_measured(self) -> bool:
        """Return whether there are enough samples for a comparison."""
        with self._lock:
            return len(self._samples) >= MIN_SAMPLES

    def sample(self, heartbeats: list[Heartbeat]) -> None:
        """Add a sample from the newest heartbeats of all members."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            served: dict[Row, float] = {}
            queued: dict[Row, int] = {}
            last = {}
            for heartbeat in heartbeats:
                member = (heartbeat.sender, heartbeat.incarnation)
                before = self._last.get(member)
                last[member] = {}
                for row in heartbeat.demand:
                    key = (row.pool, row.team)
                    last[member][key] = row.served_worth
                    queued[key] = queued.get(key, 0) + row.queued_requests
                    if before is not None:
                        increase = row.served_worth - before.get(key, 0.0)
                        served[key] = served.get(key, 0.0) + increase
            self._last = last
            self._samples.append(
                _Sample(time_s=now_s, served=served, queued=queued)
            )
            while self._samples[0].time_s < now_s - WINDOW_S:
                self._samples.popleft()

    def shares(
        self, document: Document, at_limit: frozenset[str] = frozenset()
    ) -> tuple[ShareState, ...]:
        """Return the shares of teams with queued requests in every sample.

        :param at_limit: teams to leave out, since their requests wait for
            the limit of the team
        """
        with self._lock:
            samples = list(self._samples)
        if len(samples) < MIN_SAMPLES:
            return ()
        shares = {team.name: team.share for team in document.teams}
        waiting = [
            row
            for row in samples[0].queued
            if all(sample.queued.get(row) for sample in samples)
            and row[1] in shares
            and row[1] not in at_limit
        ]
        states = []
        for pool in sorted({pool for pool, _ in waiting}):
            teams = sorted(team for name, team in waiting if name == pool)
            states += _compare(pool, teams, samples, shares)
        return tuple(states)


def _compare(pool, teams, samples, shares) -> list[ShareState]:
    """Return the shares of teams in a pool.

    :returns: an empty list for fewer than two teams or no served worth
    """
    served = {
        team: sum(sample.served.get((pool, team), 0.0) for sample in samples)
        for team in teams
    }
    all_served = sum(served.values())
    all_shares = sum(shares[team] for team in teams)
    if len(teams) < 2 or all_served <= 0:
        return []
    return [
        ShareState(
            pool=pool,
            team=team,
            expected_part=shares[team] / all_shares,
            served_part=served[team] / all_served,
        )
        for team in teams
    ]
