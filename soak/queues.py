"""Queues of the soak's configuration."""

from soak.callers import ADVISED_QUEUE
from standins.fleet import AdviceTimes
from tests.lib.nodes import configuration

__all__ = ["ADVICE_TIMES", "make_routes"]

ADVICE_TIMES = AdviceTimes(decision_ms=20, period_ms=2, validity_ms=1500)


def make_routes(pool: str = "one") -> list[dict]:
    """Return the rows of the queues.

    :param pool: pool of the callers' queues
    """
    first, second = configuration()["routes"]
    first["backend"] = pool
    advised = first | {
        "name": f"queue-{ADVISED_QUEUE}",
        "prefix": f"/{ADVISED_QUEUE}/",
        "advisor": ADVICE_TIMES.row(),
    }
    return [first, second, advised]
