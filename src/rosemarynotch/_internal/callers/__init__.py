"""HTTP server and request handling for callers of an entry."""

from rosemarynotch._internal.callers.app import CallerApp
from rosemarynotch._internal.callers.forwarding import Forwarder
from rosemarynotch._internal.callers.running import RequestRunner
from rosemarynotch._internal.callers.server import CallerServer

__all__ = ["CallerApp", "CallerServer", "Forwarder", "RequestRunner"]
