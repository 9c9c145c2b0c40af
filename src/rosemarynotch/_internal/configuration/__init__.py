"""The configuration in force, and views of the fleet and the members."""

from rosemarynotch._internal.configuration.documents import decode_document
from rosemarynotch._internal.configuration.documents import document_digest
from rosemarynotch._internal.configuration.documents import document_key
from rosemarynotch._internal.configuration.documents import DOCUMENTS_PREFIX
from rosemarynotch._internal.configuration.documents import read_document
from rosemarynotch._internal.configuration.documents import StoredDocument
from rosemarynotch._internal.configuration.follower import ConfigFetcher
from rosemarynotch._internal.configuration.follower import Follower
from rosemarynotch._internal.configuration.freshness import Freshness
from rosemarynotch._internal.configuration.keys import check_key
from rosemarynotch._internal.configuration.keys import KeyHolder
from rosemarynotch._internal.configuration.keys import make_key
from rosemarynotch._internal.configuration.membership import Membership
from rosemarynotch._internal.configuration.membership import new_incarnation
from rosemarynotch._internal.configuration.pauses import MAX_TICK_GAP_S
from rosemarynotch._internal.configuration.pauses import PauseGuard
from rosemarynotch._internal.configuration.views import ConfigInForce
from rosemarynotch._internal.configuration.views import DocumentInForce
from rosemarynotch._internal.configuration.views import FleetView
from rosemarynotch._internal.configuration.views import MembersView

__all__ = [
    "check_key",
    "ConfigFetcher",
    "ConfigInForce",
    "decode_document",
    "document_digest",
    "document_key",
    "DocumentInForce",
    "DOCUMENTS_PREFIX",
    "FleetView",
    "Follower",
    "Freshness",
    "KeyHolder",
    "make_key",
    "MAX_TICK_GAP_S",
    "Membership",
    "MembersView",
    "new_incarnation",
    "PauseGuard",
    "read_document",
    "StoredDocument",
]
