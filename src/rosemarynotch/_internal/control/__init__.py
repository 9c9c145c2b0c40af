"""Control loop: fleet record, maintenance waves, VM moves and jobs."""

from rosemarynotch._internal.control.leadership import Leadership
from rosemarynotch._internal.control.loop import ControlLoop
from rosemarynotch._internal.control.loop import FleetSources
from rosemarynotch._internal.control.loop import Policies

__all__ = ["ControlLoop", "FleetSources", "Leadership", "Policies"]
