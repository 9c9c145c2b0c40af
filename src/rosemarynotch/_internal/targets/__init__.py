"""Connections to targets, routing and ejection."""

from rosemarynotch._internal.targets.client import TargetClient
from rosemarynotch._internal.targets.health import HealthTable

__all__ = ["HealthTable", "TargetClient"]
