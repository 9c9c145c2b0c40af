"""Assignment of fractional slots over time."""

import math

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.policy.usage import Key

__all__ = ["FractionalSlots"]

# Bounds the unused or overused slot time that a team can accumulate.
MAX_CREDIT_S = 1.0
# Tolerance for sums of fractions that are just below a whole number.
ROUNDING = 1e-9


class FractionalSlots:
    """Assigns whole slots so that the slot time used is right on average.

    A fraction of a slot is assigned as a whole slot for a limited period,
    but a running request continues after the period has ended. With periods
    of a fixed length, a team whose requests outlast a period got 16 % too
    much. Therefore each team has a credit of slot time and is assigned the
    slot while the credit is not negative. The credit is charged with
    measured slot time. Charging for the requests that run at each call would
    miss short requests, which start right after a call and may end before
    the next one.
    """

    def __init__(self, now_s: float) -> None:
        self._last_call_s = now_s
        self._credit_s: dict[Key, float] = {}
        self._slot_s: dict[Key, float] = {}

    def assign(
        self,
        target_slots: dict[Key, float],
        rows: dict[Key, DemandRow],
        now_s: float,
    ) -> dict[Key, int]:
        """Return the whole slots for the time until the next call.

        :param target_slots: slots due on average, with fractions
        :param rows: this entry's demand rows, with the slot time used
        """
        elapsed_s = now_s - self._last_call_s
        self._last_call_s = now_s
        slots, credits_s = {}, {}
        for key, part in target_slots.items():
            # Slot time on spare slots is not charged to the team.
            max_charge_s = math.ceil(part - ROUNDING) * elapsed_s
            used_s = min(self._used_s(key, rows.get(key)), max_charge_s)
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
