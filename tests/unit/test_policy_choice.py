"""Tests of the choice of policies for experiments."""

import testtools

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.scheduling.policy import ArrivalOrder
from rosemarynotch._internal.scheduling.policy import CycleForecast
from rosemarynotch._internal.scheduling.policy import NoForecast
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.wiring.policies import choose_policies


class ChoiceTest(testtools.TestCase):
    """Guards against experiments with other policies than those named."""

    def test_defaults(self):
        """Guards against a node that starts with a baseline."""
        policies = choose_policies()
        self.assertIsInstance(policies.order, ObjectiveOrder)
        self.assertIs(CycleForecast, policies.make_forecast)

    def test_names(self):
        """Guards against a choice that is ignored."""
        policies = choose_policies("order=arrival,forecast=none")
        self.assertIsInstance(policies.order, ArrivalOrder)
        self.assertIs(NoForecast, policies.make_forecast)

    def test_errors_name_the_place(self):
        """Guards against a misspelt policy that plays as the default."""
        for text, part in (
            ("forecst=none", "forecst"),
            ("forecast=nine", "nine"),
            ("none", "none"),
        ):
            with self.subTest(text):
                error = self.assertRaises(SettingsError, choose_policies, text)
                self.assertIn(part, str(error))
