"""Emulator of the users' platform: store, workers, VM and advice service.

It speaks the platform's protocol over HTTP and records every run in a ledger,
against which tests check the guarantees. Tests can switch faults on and off.
"""

from standins.fleet.advice import AdviceTimes
from standins.fleet.advice import EmulatedAdvisor
from standins.fleet.emulator import Emulator
from standins.fleet.ledger import Ledger
from standins.fleet.ledger import RunEntry
from standins.fleet.store import EmulatedStore
from standins.fleet.worker import EmulatedWorker

__all__ = [
    "AdviceTimes",
    "EmulatedAdvisor",
    "EmulatedStore",
    "EmulatedWorker",
    "Emulator",
    "Ledger",
    "RunEntry",
]
