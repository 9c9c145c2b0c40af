"""Fractions of slots, given in turns."""

import math

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.policy.usage import Key

__all__ = ["SlotTurns"]

# Bounds the slot time that a team can save up or owe.
MAX_CREDIT_S = 1.0
# Sums of parts that make up a whole slot may end just below it.
ROUNDING = 1e-9


class SlotTurns:
    """Gives whole slots, so that the slot time used is right on average.

    A request goes on after its turn has ended. Turns of a fixed length gave
    16 % too much to a team whose requests outlast a turn. So each team has
    a credit, and its turn lasts while that is not negative. The credit is
    charged with the counted slot time: counting the requests that run at
    each call charges short requests nothing, since they start right after a
    call and may end before the next.
    """

    def __init__(self, now_s: float) -> None:
        self._given_s = now_s
        self._credit_s: dict[Key, float] = {}
        self._slot_s: dict[Key, float] = {}

    def give(
        self,
        wanted: dict[Key, float],
        rows: dict[Key, DemandRow],
        now_s: float,
    ) -> dict[Key, int]:
        """Return the slots for the time until the next call.

        :param wanted: slots and fractions of slots
        :param rows: what this entry runs and has used
        """
        elapsed_s = now_s - self._given_s
        self._given_s = now_s
        slots, credits_s = {}, {}
        for key, part in wanted.items():
            # What runs on spare slots is not held against the team.
            most_s = math.ceil(part - ROUNDING) * elapsed_s
            used_s = min(self._used_s(key, rows.get(key)), most_s)
            balance_s = self._credit_s.get(key, 0.0) - used_s
            balance_s += part * elapsed_s
            credits_s[key] = max(-MAX_CREDIT_S, min(MAX_CREDIT_S, balance_s))
            whole = math.floor(part + ROUNDING)
            slots[key] = whole + (part - whole > ROUNDING and balance_s >= 0)
        self._credit_s = credits_s
        self._slot_s = {key: row.slot_s for key, row in rows.items()}
        return slots

    def _used_s(self, key: Key, row: DemandRow | None) -> float:
        """Return the slot time used since the previous call."""
        if row is None:
            return 0.0
        return row.slot_s - self._slot_s.get(key, row.slot_s)
