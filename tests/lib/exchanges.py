"""Two members in the process of a test that exchange messages."""

import time

import testtools

from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.models import messages
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.peers import Exchange
from rosemarynotch._internal.peers import Timing
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.request_budget import RequestBudget
from tests.lib.counts import Counts
from tests.lib.fleet import member

__all__ = [
    "ANY_PORT",
    "ExchangePairCase",
    "FAST",
    "forward",
    "TIMEOUT_S",
    "wait_for",
]

FAST = Timing(period_s=0.1, per_participant_s=0.0, min_interval_s=0.02)
# Detects a hang; the tests don't measure this time.
TIMEOUT_S = 20
ANY_PORT = "127.0.0.1:0"


def wait_for(condition):
    """Wait until a condition holds, or fail after a time-out."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("condition not reached")
        time.sleep(0.01)


def forward():
    """Build a request to forward."""
    request = messages.CallerRequest(
        request_id="r",
        team="t",
        key_id="k",
        queue="q",
        method="POST",
        path="/",
        headers=(),
        body=b"x" * 100_000,
        worth=1.0,
        remaining_ms=1000,
        idempotent=False,
    )
    return messages.Forward(
        request=request, members_revision=1, config_version=1
    )


class ExchangePairCase(testtools.TestCase):
    """Base class with the exchanges of the members a and b."""

    def setUp(self):
        """Start the exchanges and wait until a is connected to b."""
        super().setUp()
        self.exchanges = {}
        views = {}
        for name in ("a", "b"):
            views[name] = MembersView()
            exchange = Exchange(
                member(name, address=ANY_PORT),
                views[name],
                SystemClock(),
                Counts(),
                FAST,
                self.make_budget(name),
            )
            self.exchanges[name] = exchange
            exchange.start()
            self.addCleanup(exchange.stop)
        record = MembersRecord(
            members={
                name: member(name, address=exchange.bind())
                for name, exchange in self.exchanges.items()
            }
        )
        for view in views.values():
            view.apply(record, 1)
        wait_for(lambda: self.exchanges["a"].connected())

    def make_budget(self, name: str) -> RequestBudget | None:
        """Return the budget of a member, None for the default."""
        return None
