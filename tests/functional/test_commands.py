"""Tests of the operators' program against the operators' API."""

import contextlib
import io
import json
import os
import pathlib
import socket
import tempfile
import threading
from unittest import mock

import testtools

from rosemarynotch._internal.cli.operator import COMMANDS
from rosemarynotch._internal.cli.operator import main
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.operators.server import OperatorServer
from tests.lib.documents import TOML
from tests.lib.operators import OPERATOR_KEY
from tests.lib.operators import OperatorPort
from tests.lib.stores import Fault

CHANGE_OPTIONS = ("--operator", "anna", "--reason", "test", "--wait-s", "0.1")


class CommandsTest(testtools.TestCase):
    """Guards against commands that report a wrong outcome."""

    def setUp(self):
        super().setUp()
        self.port = OperatorPort()
        self.follows = True
        self.address = self.serve(self.port)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = pathlib.Path(directory.name) / "document.toml"
        self.file.write_text(TOML)

    def serve(self, port):
        def app(environ, start_response):
            if self.follows:
                port.follow()
            return port.app(environ, start_response)

        server = OperatorServer(app, "127.0.0.1", 0)
        server.start()
        self.addCleanup(server.stop)
        return server.address

    def run_command(self, *words, entry="", key=OPERATOR_KEY):
        """Run a command and return its exit status and output."""
        settings = {
            "ROSEMARYNOTCH_ENTRY": entry or self.address,
            "ROSEMARYNOTCH_OPERATOR_KEY": key,
        }
        text = io.StringIO()
        argv = ["rosemarynotch", *words]
        with (
            mock.patch.dict(os.environ, settings),
            mock.patch("sys.argv", argv),
            contextlib.redirect_stdout(text),
            contextlib.redirect_stderr(text),
        ):
            result = self.assertRaises(SystemExit, main)
        return result.code, text.getvalue()

    def change(self, *words, **fields):
        return self.run_command(*words, *CHANGE_OPTIONS, **fields)

    def test_trial_promotion_and_rollback_of_a_document(self):
        """Guards against promoting a document that was not tried.

        Also guards against a rollback that reverts a newer version unnoticed.
        """
        file = str(self.file)
        status, text = self.change("try", file)
        self.assertEqual(Exit.DONE, status, text)
        self.assertIn("accepted: version 1", text)
        self.assertIn("in force on 1 of 1", text)
        digest = text.split("digest ")[1].strip()
        self.file.write_text(TOML.replace("share = 2", "share = 3"))
        _, text = self.run_command("diff", file)
        self.assertIn("team harbour: share 2.0 -> 3.0", text)
        status, text = self.change("promote", file, "--digest", digest)
        self.assertEqual(Exit.REFUSED, status)
        self.assertIn("document-not-tried", text)
        status, _ = self.change("try", file)
        self.assertEqual(Exit.DONE, status)
        status, text = self.change("rollback", "1", "--expected-version", "1")
        self.assertEqual(Exit.REFUSED, status)
        self.assertIn("version-changed", text)
        status, text = self.change("rollback", "1")
        self.assertEqual(Exit.DONE, status)
        status, text = self.run_command("history", "--output", "json")
        versions = json.loads(text)["versions"]
        self.assertEqual([3, 2, 1], [item["version"] for item in versions])
        self.assertEqual(digest, versions[0]["digest"])

    def test_promotion_after_a_trial_in_another_environment(self):
        """Guards against a promotion that misses or ignores the trial.

        The trial was made in another environment with its own store.
        """
        _, text = self.change("try", str(self.file))
        digest = text.split("digest ")[1].strip()
        production = self.serve(OperatorPort(is_trial=False))
        words = ("promote", str(self.file), "--digest", digest)
        status, text = self.change(*words, entry=production)
        self.assertEqual(Exit.REFUSED, status, text)
        status, text = self.change(
            *words, "--trial-entry", self.address, entry=production
        )
        self.assertEqual(Exit.DONE, status, text)

    def test_change_that_is_accepted_but_not_yet_in_force(self):
        """Guards against reporting an accepted change as in force."""
        self.follows = False
        status, text = self.change("try", str(self.file), "--change-id", "c1")
        self.assertEqual(Exit.NOT_YET_EVERYWHERE, status)
        self.assertIn("in force on 0 of 1", text)
        status, _ = self.run_command("change", "c1")
        self.assertEqual(Exit.NOT_YET_EVERYWHERE, status)
        self.port.follow()
        status, text = self.run_command("change", "c1")
        self.assertEqual((Exit.DONE, True), (status, "1 of 1" in text))

    def test_unknown_outcome_is_reported_with_the_change_id(self):
        """Guards against an unknown outcome that cannot be looked up.

        The answer of the store is lost. A repeat needs the same change id.
        """
        self.change("try", str(self.file))
        self.port.store.fault = Fault.LOST_ANSWER
        status, text = self.change("drain", "s-1", "--change-id", "c7")
        self.assertEqual(Exit.UNKNOWN, status)
        self.assertIn("--change-id c7", text)
        self.port.store.fault = Fault.NONE
        status, _ = self.change("drain", "s-1", "--change-id", "c7")
        self.assertEqual(Exit.DONE, status)

    def test_internal_error_makes_the_outcome_unknown(self):
        """Guards against reporting a change as not made after an error."""
        broken = OperatorPort()
        broken.app = None
        address = self.serve(broken)
        status, _ = self.change("drain", "s-1", entry=address)
        self.assertEqual(Exit.UNKNOWN, status)
        status, _ = self.run_command("report", entry=address)
        self.assertEqual(Exit.NO_ANSWER, status)

    def test_entries_are_tried_in_turn(self):
        """Guards against a wrong outcome when some entries do not answer.

        An entry that closes the connection may have made the change.
        """
        closed = socket.create_server(("127.0.0.1", 0))
        silent = f"127.0.0.1:{closed.getsockname()[1]}"

        def drop_one():
            connection, _ = closed.accept()
            connection.recv(65536)
            connection.close()

        self.addCleanup(closed.close)
        self.change("try", str(self.file))
        entries = f"127.0.0.1:1,{silent}"
        for more, wanted in (("", Exit.UNKNOWN), (self.address, Exit.DONE)):
            threading.Thread(target=drop_one, daemon=True).start()
            entry = ",".join(filter(None, (entries, more)))
            status, text = self.change("drain", "s-1", entry=entry)
            self.assertEqual(wanted, status, text)
        self.port.store.fault = Fault.DOWN
        entry = f"{self.address},127.0.0.1:1"
        status, text = self.change("drain", "s-2", entry=entry)
        self.assertEqual(Exit.REFUSED, status)
        self.assertIn("store-unavailable", text)
        status, _ = self.run_command("report", entry="127.0.0.1:1")
        self.assertEqual(Exit.NO_ANSWER, status)

    def test_key_is_shown_once_and_its_secret_is_not_stored(self):
        """Guards against stored secrets, and keys withdrawn by mistake."""
        self.change("try", str(self.file))
        status, text = self.change("key", "give", "harbour", "k2")
        self.assertEqual(Exit.DONE, status, text)
        key = next(
            line for line in text.splitlines() if line.startswith("harbour.")
        )
        secret = key.rsplit(".", 1)[1]
        stored = self.port.store.core
        for name, _ in stored.keys(""):
            self.assertNotIn(secret.encode(), stored.get(name).value)
        # A file without the key would withdraw it, which needs --confirm.
        self.file.write_text(TOML.replace("share = 2", "share = 3"))
        status, text = self.change("try", str(self.file))
        self.assertEqual(Exit.CONFIRMATION_NEEDED, status)
        self.assertIn("key k2 stops working", text)
        status, _ = self.change("key", "withdraw", "harbour", "k2")
        self.assertEqual(Exit.DONE, status)

    def test_vms_waves_jobs_and_reports(self):
        """Guards against commands that the API does not accept."""
        self.file.write_text(
            TOML + '[[waves]]\nname = "w"\npools = ["settlement"]\n'
        )
        self.change("try", str(self.file))
        job = self.port.add_job("harbour", 1, JobState.QUEUED)
        for words in (
            ("drain", "s-1"),
            ("undrain", "s-1"),
            ("wave", "start", "w"),
            ("wave", "pause", "w"),
            ("wave", "resume", "w"),
            ("wave", "abort", "w"),
            ("job", "cancel", job, "--team", "harbour"),
        ):
            status, text = self.change(*words)
            self.assertEqual(Exit.DONE, status, (words, text))
            self.assertIn("accepted", text)
        status, text = self.change("move", "s-1", "nowhere")
        self.assertEqual((Exit.REFUSED, True), (status, "pool-unk" in text))
        for words, wanted in (
            (("report",), "No promise at risk"),
            (("report", "--html"), "<pre>"),
            (("status",), "pool settlement: 2/2 VMs"),
            (("job", "list"), job),
            (("validate", str(self.file)), "valid: 1 pools"),
            (("operator-key", "bert"), "bert:k1:"),
        ):
            status, text = self.run_command(*words)
            self.assertEqual(Exit.DONE, status, text)
            self.assertIn(wanted, text)

    def test_bad_usage(self):
        """Guards against an exit status that does not fit the error."""
        self.file.write_text(TOML.replace("share = 1", "share = 0"))
        bad_key, _ = make_key("anna", "k1")
        for words, fields, wanted in (
            (("nothing",), {}, Exit.BAD_USAGE),
            (("drain", "s-1"), {}, Exit.BAD_USAGE),
            (("report",), {"entry": "x"}, Exit.BAD_USAGE),
            (("report",), {"key": bad_key}, Exit.REFUSED),
            (("validate", str(self.file)), {}, Exit.REFUSED),
            (("validate", "/nowhere"), {}, Exit.BAD_USAGE),
            (("operator-key", "a:b"), {}, Exit.BAD_USAGE),
        ):
            status, text = self.run_command(*words, **fields)
            self.assertEqual(wanted, status, (words, text))
        for name in COMMANDS:
            status, text = self.run_command(*name.split(), "--help")
            self.assertEqual(Exit.DONE, status, name)
