"""Faults that tests switch on in the platform stand-in."""

import enum
import threading
import time

import msgspec

__all__ = ["AnswerLost", "Faults", "Outage", "Settings", "VmList"]


class AnswerLost(Exception):
    """Ends a request by closing its connection without an answer."""


class Outage(enum.StrEnum):
    """How a service is unavailable.

    ``DOWN`` answers 503 and does nothing; ``DROP`` closes the connection
    without an answer and does nothing.
    """

    UP = "up"
    DOWN = "down"
    DROP = "drop"


class VmList(enum.StrEnum):
    """What the VM list shows."""

    LIVE = "live"
    STALE = "stale"
    EMPTY = "empty"


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the calls that arrive at one port.

    :ivar store: outage of the store
    :ivar store_delay_ms: added to each store call
    :ivar lost_answers: store writes that take effect without an answer
    :ivar services: outage of the VM and task services
    :ivar services_delay_ms: added to each VM and task call
    :ivar lost_service_answers: VM and task operations without an answer
    :ivar vm_list: what the VM list shows
    """

    store: Outage = Outage.UP
    store_delay_ms: int = 0
    lost_answers: int = 0
    services: Outage = Outage.UP
    services_delay_ms: int = 0
    lost_service_answers: int = 0
    vm_list: VmList = VmList.LIVE


class Faults:
    """The faults by port; port 0 stands for all ports."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_port: dict[int, Settings] = {}

    def change(self, changes: dict, port: int = 0) -> Settings:
        """Change some settings, of one port or of all.

        :raises msgspec.ValidationError: for an unknown setting
        """
        with self._lock:
            if not port:
                self._by_port.clear()
            merged = msgspec.to_builtins(self._find(port)) | changes
            settings = msgspec.convert(merged, Settings)
            self._by_port[port] = settings
            return settings

    def settings(self, port: int = 0) -> Settings:
        """Return the settings that apply to a port."""
        with self._lock:
            return self._find(port)

    def before_call(self, port: int, is_store: bool) -> None:
        """Delay a call, or drop it.

        :raises AnswerLost: when the connection has to be closed
        """
        found = self.settings(port)
        delay_ms = (
            found.store_delay_ms if is_store else found.services_delay_ms
        )
        if delay_ms:
            time.sleep(delay_ms / 1000)
        if (found.store if is_store else found.services) is Outage.DROP:
            raise AnswerLost

    def is_down(self, port: int, is_store: bool) -> bool:
        """Tell whether a service answers 503."""
        found = self.settings(port)
        return (found.store if is_store else found.services) is Outage.DOWN

    def after_write(self, port: int, is_store: bool) -> None:
        """Lose the answer of a write that took effect.

        :raises AnswerLost: while answers have to be lost
        """
        field = "lost_answers" if is_store else "lost_service_answers"
        with self._lock:
            found = self._find(port)
            count = getattr(found, field)
            if not count:
                return
            setattr(found, field, count - 1)
        raise AnswerLost

    def _find(self, port: int) -> Settings:
        found = self._by_port.get(port) or self._by_port.get(0)
        return found if found is not None else Settings()
