"""Tests of the distinction between lost answers and workers that are down."""

import testtools

from rosemarynotch._internal.scheduling.answer_losses import AnswerLosses


class AnswerLossesTest(testtools.TestCase):
    """Guards against waits for lost answers and needless calls.

    If answers are often lost, the wait for a report is shortened.
    """

    def setUp(self):
        super().setUp()
        self.losses = AnswerLosses()

    def lose_answer(self, worker_id, at_s, answered_after_s=0.3):
        self.losses.note(worker_id, False, at_s)
        self.losses.note(worker_id, True, at_s + answered_after_s)

    def test_lost_answers(self):
        """Guards against undetected losses.

        Each lost report hides the ends of a worker's runs for 1.5 s.
        """
        self.lose_answer("w1", 10.0)
        self.assertFalse(self.losses.are_frequent(10.4))
        self.lose_answer("w2", 10.5)
        self.assertTrue(self.losses.are_frequent(11.0))
        self.assertFalse(self.losses.are_frequent(14.5))

    def test_rack_that_is_down(self):
        """Guards against calling workers that are down four times as often.

        They do not answer either, but all of them miss at once.
        """
        for number in range(20):
            self.losses.note(f"w{number}", False, 10.0)
        self.assertFalse(self.losses.are_frequent(10.1))
        for number in range(20):
            self.losses.note(f"w{number}", True, 16.0)
        self.assertFalse(self.losses.are_frequent(16.0))

    def test_answers_without_losses(self):
        """Guards against losses detected although all calls are answered."""
        for at_s in range(10):
            self.losses.note("w1", True, at_s)
        self.assertFalse(self.losses.are_frequent(9.0))
