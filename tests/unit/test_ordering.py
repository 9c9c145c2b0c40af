"""Tests of the order in which teams go."""

import testtools

from rosemarynotch._internal.policy.ordering import FifoOrder
from rosemarynotch._internal.policy.ordering import RoundRobinOrder
from rosemarynotch._internal.policy.ordering import TeamCandidate
from rosemarynotch._internal.policy.ordering import WorthOverShareOrder

TURNS = [
    TeamCandidate("a", arrival=3, share=1.0, served_worth=5.0),
    TeamCandidate("b", arrival=1, share=4.0, served_worth=12.0),
    TeamCandidate("c", arrival=2, share=2.0, served_worth=9.0),
    TeamCandidate("d", arrival=0, share=0.0, served_worth=0.0),
]


class OrderTest(testtools.TestCase):
    """Guards against teams that are served out of their turn."""

    def test_fifo_takes_the_oldest(self):
        self.assertEqual("d", FifoOrder().choose("p", TURNS).team)

    def test_round_robin_takes_each_team_in_turn_and_pool(self):
        order = RoundRobinOrder()
        names = [order.choose("p", TURNS).team for _ in range(5)]
        self.assertEqual(list("abcda"), names)
        self.assertEqual("a", order.choose("q", TURNS).team)

    def test_lowest_worth_over_share_goes_first(self):
        order = WorthOverShareOrder()
        turns, names = list(TURNS), []
        while turns:
            chosen = order.choose("p", turns)
            names.append(chosen.team)
            turns.remove(chosen)
        self.assertEqual(list("bcad"), names)
