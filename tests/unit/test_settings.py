"""Tests of program settings from flags and environment variables."""

import contextlib
import io
import os
import sys
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.settings import run_program


def program(*, name: str, threads: int = 4, verbose: bool = False) -> int:
    """Serve.

    :param name: name of the process
    :param threads: number of threads
    :param verbose: whether to print more
    """
    if threads < 1:
        raise SettingsError("threads: must be positive")
    print(name, threads, verbose)
    return 0


CASES = {
    "flag": ((["--name=a", "--threads=2"], {}), (0, "a 2 False", "")),
    "variable": (([], {"NAME": "b", "VERBOSE": "1"}), (0, "b 4 True", "")),
    "flag wins": ((["--name=a"], {"NAME": "b"}), (0, "a 4 False", "")),
    "missing": (([], {}), (2, "", "required: -n/--name")),
    "not a number": ((["--name=a", "--threads=x"], {}), (2, "", "'x'")),
    "out of range": ((["--name=a", "--threads=0"], {}), (2, "", "positive")),
    "not a boolean": (([], {"NAME": "a", "VERBOSE": "maybe"}), (2, "", "not")),
    "unknown": ((["--name=a", "--colour=red"], {}), (2, "", "--colour")),
}


class RunProgramTest(testtools.TestCase):
    """Guards against invalid settings that are ignored or badly reported."""

    def test_cases(self):
        """Guards against wrong precedence and errors without the name."""
        for name, ((flags, variables), expected) in CASES.items():
            status, written, errors = self.run_with(flags, variables)
            self.assertEqual(expected[0], status, name)
            self.assertEqual(expected[1], written.strip(), name)
            self.assertIn(expected[2], errors, name)
            self.assertEqual(1 if expected[2] else 0, errors.count("\n"), name)

    def run_with(self, flags, variables):
        values = {f"ROSEMARYNOTCH_{n}": v for n, v in variables.items()}
        written, errors = io.StringIO(), io.StringIO()
        with mock.patch.object(sys, "argv", ["program", *flags]):
            with mock.patch.dict(os.environ, values, clear=True):
                with contextlib.redirect_stdout(written):
                    with contextlib.redirect_stderr(errors):
                        raised = self.assertRaises(
                            SystemExit, run_program, program
                        )
        return raised.code, written.getvalue(), errors.getvalue()
