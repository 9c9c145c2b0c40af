"""Tests of the order policies."""

import testtools

from rosemarynotch._internal.policy.ordering import FifoOrder
from rosemarynotch._internal.policy.ordering import RoundRobinOrder
from rosemarynotch._internal.policy.ordering import TeamCandidate
from rosemarynotch._internal.policy.ordering import WorthOverShareOrder

CANDIDATES = [
    TeamCandidate("a", arrival=3, share=1.0, served_worth=5.0),
    TeamCandidate("b", arrival=1, share=4.0, served_worth=12.0),
    TeamCandidate("c", arrival=2, share=2.0, served_worth=9.0),
    TeamCandidate("d", arrival=0, share=0.0, served_worth=0.0),
]


class OrderTest(testtools.TestCase):
    """Guards against teams that are served in the wrong order."""

    def test_fifo_chooses_the_oldest_request(self):
        """Guards against an order other than that of arrival."""
        self.assertEqual("d", FifoOrder().choose("p", CANDIDATES).team)

    def test_round_robin_cycles_through_teams_per_pool(self):
        """Guards against teams that are left out, and pools that interfere."""
        order = RoundRobinOrder()
        names = [order.choose("p", CANDIDATES).team for _ in range(5)]
        self.assertEqual(list("abcda"), names)
        self.assertEqual("a", order.choose("q", CANDIDATES).team)

    def test_lowest_worth_over_share_goes_first(self):
        """Guards against preferring a team that got more for its share."""
        order = WorthOverShareOrder()
        candidates, names = list(CANDIDATES), []
        while candidates:
            chosen = order.choose("p", candidates)
            names.append(chosen.team)
            candidates.remove(chosen)
        self.assertEqual(list("bcad"), names)
