"""Faults that tests inject into the platform stand-in."""

import enum
import threading
import time

import msgspec

__all__ = ["AnswerLost", "Faults", "Outage", "Settings", "VmList"]


class AnswerLost(Exception):
    """Raised to close the connection of a request without an answer."""


class Outage(enum.StrEnum):
    """Availability of a service.

    Calls have no effect in either kind of outage: ``DOWN`` answers 503,
    ``DROP`` closes the connection without an answer.
    """

    UP = "up"
    DOWN = "down"
    DROP = "drop"


class VmList(enum.StrEnum):
    """Content of the VM list.

    ``LIVE`` is the regular list, ``STALE`` the list as it was when this
    value was set, and ``EMPTY`` a list without rows.
    """

    LIVE = "live"
    STALE = "stale"
    EMPTY = "empty"


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the calls that arrive at one port.

    :ivar store: availability of the store
    :ivar store_delay_ms: delay before each store call
    :ivar lost_answers: number of store writes, from the next one on, that
        take effect but get no answer
    :ivar services: availability of the VM and task services
    :ivar services_delay_ms: delay before each VM and task call
    :ivar lost_service_answers: number of VM and task operations, from the
        next one on, that take effect but get no answer
    :ivar vm_list: content of the VM list
    """

    store: Outage = Outage.UP
    store_delay_ms: int = 0
    lost_answers: int = 0
    services: Outage = Outage.UP
    services_delay_ms: int = 0
    lost_service_answers: int = 0
    vm_list: VmList = VmList.LIVE


class Faults:
    """Settings by port; those of port 0 apply to all other ports."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_port: dict[int, Settings] = {}

    def change(self, changes: dict, port: int = 0) -> Settings:
        """Change some settings of a port and return all of them.

        A change for port 0 applies to all ports and resets every other
        setting to its default.

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
        """Apply the delay and the ``DROP`` outage to a call.

        :raises AnswerLost: when the connection is to be closed
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
        """Return whether a service answers 503."""
        found = self.settings(port)
        return (found.store if is_store else found.services) is Outage.DOWN

    def after_write(self, port: int, is_store: bool) -> None:
        """Drop the answer to a write that took effect, if one is due.

        :raises AnswerLost: while lost answers remain
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
