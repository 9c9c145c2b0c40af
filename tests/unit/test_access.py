"""Tests of the keys of calls and of what they give access to."""

import types

import testtools

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import KEY_INVALID
from rosemarynotch._internal.exceptions import KEY_MISSING
from rosemarynotch._internal.platform import CallerInterface
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import QueuePolicy

KEY = "key-a"


def queue(name, is_public):
    return QueuePolicy(
        name=name, host="h", prefix=f"/{name}/", pool="p", is_public=is_public
    )


CONFIGURATION = Configuration(
    version=1,
    revision=1,
    queues=(queue("private", False), queue("public", True)),
    organisations={"a": Organisation(name="a", keys=frozenset({KEY}))},
)


class KeyTest(testtools.TestCase):
    """Guards against calls with keys that nobody has (rule ROUTE)."""

    def resolve(self, authorization, name):
        """Return the request of a call, or the failure."""
        api = JobApi(
            types.SimpleNamespace(current=CONFIGURATION),
            *[None] * 4,
            phase_reader=None,
            admission=None,
            room_retry=None,
        )
        found = []

        class Recorder:
            def resolve_request(self, **fields):
                found.append(api.resolve_request(**fields))
                return KEY_MISSING

        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": f"/{name}/",
            "HTTP_HOST": "h",
        }
        if authorization is not None:
            environ["HTTP_AUTHORIZATION"] = authorization
        CallerInterface(Recorder())(environ, lambda status, headers: None)
        return found[0]

    def test_unknown_key(self):
        """Guards against a key that counts as none on a public queue."""
        for authorization in (
            "Token key-b",
            "Token key-a key-b",
            "Token",
            "Bearer key-a",
            "key-a",
        ):
            for name in ("private", "public"):
                found = self.resolve(authorization, name)
                self.assertIsInstance(found, Failure, authorization)
                self.assertTrue(found.is_a(KEY_INVALID), authorization)

    def test_call_without_a_key(self):
        for authorization in (None, "", " "):
            self.assertTrue(
                self.resolve(authorization, "private").is_a(KEY_MISSING)
            )
            found = self.resolve(authorization, "public")
            self.assertEqual(CallerAccess(None, "public"), found.access)

    def test_known_key(self):
        for name in ("private", "public"):
            found = self.resolve("Token  key-a ", name)
            self.assertEqual(CallerAccess("a", name), found.access)


class AccessTest(testtools.TestCase):
    """Guards against access to the jobs of others."""

    def test_access(self):
        # Caller's organisation and queue, job's owner and queue.
        for organisation, at, owner, of, expected in (
            ("a", "q", "a", "q", True),
            ("a", "q", "a", "other", True),
            ("a", "q", "b", "q", False),
            ("a", "q", "", "q", True),
            ("a", "q", "", "other", False),
            (None, "q", "a", "q", True),
            (None, "q", "a", "other", False),
            (None, "q", "", "q", True),
            (None, "q", "", "other", False),
        ):
            access = CallerAccess(organisation, at)
            self.assertIs(
                expected, access.permits(owner, of), (organisation, owner, of)
            )
