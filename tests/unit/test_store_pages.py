"""Tests of listings of the platform's store."""

import testtools

from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.platform.store import HttpCoordinationStore
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import HttpClient
from standins.fleet.http import Answer
from standins.fleet.http import JsonServer

ROW = {"key": "k1", "revision": 3, "value": ""}


class PageTest(testtools.TestCase):
    """Guards against a listing that ends early and looks whole.

    Workers that it lacks would count as gone.
    """

    def list_pages(self, *pages):
        """List a prefix whose pages have the given items."""
        answers = iter(pages)

        def respond(call):
            items = next(answers)
            has_more = items is not pages[-1]
            return Answer(200, {"items": items, "at": 3, "has-more": has_more})

        server = JsonServer(respond)
        self.addCleanup(server.close)
        http = HttpClient(server.address, SystemClock(), timeout_s=5.0)
        self.addCleanup(http.close)
        return HttpCoordinationStore(http).list_prefix("k")

    def test_empty_page_that_is_not_the_last(self):
        listing = self.list_pages([ROW], [], [{**ROW, "key": "k2"}])
        self.assertTrue(listing.is_a(STORE_UNAVAILABLE))

    def test_pages(self):
        for last in ([], [{**ROW, "key": "k2"}]):
            listing = self.list_pages([ROW], last)
            self.assertEqual(1 + len(last), len(listing.items))
