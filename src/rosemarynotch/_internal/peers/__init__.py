"""The exchange between processes: heartbeats, forwards, hints."""

from rosemarynotch._internal.peers.exchange import Exchange
from rosemarynotch._internal.peers.latest_heartbeats import ReceivedHeartbeat
from rosemarynotch._internal.peers.timing import Timing

__all__ = ["Exchange", "ReceivedHeartbeat", "Timing"]
