"""Adapters for the users' platform: names, formats and calls.

The package contains no scheduling decisions. It translates between the names
on the wire and the types of :mod:`rosemarynotch._internal.scheduling`.
"""

from rosemarynotch._internal.platform.advice import HttpAdvisor
from rosemarynotch._internal.platform.documents import decode_configuration
from rosemarynotch._internal.platform.documents import decode_wave
from rosemarynotch._internal.platform.documents import decode_worker
from rosemarynotch._internal.platform.documents import encode_wave_status
from rosemarynotch._internal.platform.documents import KEYS
from rosemarynotch._internal.platform.requests import CallerInterface
from rosemarynotch._internal.platform.settings import load_settings
from rosemarynotch._internal.platform.settings import SETTINGS_VARIABLE
from rosemarynotch._internal.platform.store import HttpCoordinationStore
from rosemarynotch._internal.platform.vms import HttpFleetService
from rosemarynotch._internal.platform.workers import HttpWorkerChannel

__all__ = [
    "CallerInterface",
    "HttpAdvisor",
    "HttpCoordinationStore",
    "HttpFleetService",
    "HttpWorkerChannel",
    "KEYS",
    "SETTINGS_VARIABLE",
    "decode_configuration",
    "decode_wave",
    "decode_worker",
    "encode_wave_status",
    "load_settings",
]
