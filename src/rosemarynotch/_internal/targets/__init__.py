"""Connections to targets, and ejection of failing targets."""

from rosemarynotch._internal.targets.client import TargetClient
from rosemarynotch._internal.targets.health import HealthTable

__all__ = ["HealthTable", "TargetClient"]
