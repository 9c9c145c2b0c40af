"""HTTP client for the operators' API."""

import http.client
import json
from typing import Any
import urllib.parse

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.exceptions import CONFIRMATION_NEEDED
from rosemarynotch._internal.exceptions import IDEMPOTENCY_KEY_REUSED
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.exceptions import VERSION_CHANGED

__all__ = ["Session", "split_address"]

# Before an entry responds, it retries a write several times if the answer of
# the store is lost.
TIMEOUT_S = 30.0
# Codes that show that no earlier attempt took effect.
NO_EFFECT_CODES = (VERSION_CHANGED.code, IDEMPOTENCY_KEY_REUSED.code)
OK = 200
FIRST_SERVER_ERROR = 500


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address.

    :raises SettingsError: if the text is not HOST:PORT
    """
    host, _, port = text.strip().rpartition(":")
    if not host or not port.isdecimal():
        raise SettingsError(f"entry: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


class Session:
    """Sends requests to entries in turn until one answers.

    :param entries: HOST:PORT of operator ports, separated by commas
    :ivar key: the operator key
    """

    def __init__(
        self, entries: str, key: str, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._addresses = [split_address(text) for text in entries.split(",")]
        self.key = key
        self._timeout_s = timeout_s

    def get(self, path: str) -> Any:
        """Return the response to a GET request.

        :raises CommandError: if the request is refused or no entry answers
        """
        return self._call("GET", path, b"", is_change=False)

    def query(self, path: str, body: dict[str, Any]) -> Any:
        """Send a query with a body and return the response.

        :raises CommandError: if the query is refused or no entry answers
        """
        data = json.dumps(body).encode()
        return self._call("POST", path, data, is_change=False)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a change with its change id and return the response.

        A change whose answer was lost is sent to the next entry. Due to the
        change id it takes effect at most once.

        :raises CommandError: if the change is refused, its outcome is
            unknown, or no entry answers
        """
        data = json.dumps(body).encode()
        return self._call("POST", path, data, is_change=True)

    def _call(
        self, method: str, path: str, body: bytes, is_change: bool
    ) -> Any:
        """Send a request to the entries in turn.

        :param is_change: whether the outcome is unknown after a lost answer
        """
        maybe_ran = False
        # The refusal of an entry takes precedence over connection errors.
        refusal: CommandError | None = None
        errors: list[str] = []
        for address in tuple(self._addresses):
            try:
                status, data = self._exchange(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                errors.append(_error_text(address, error))
                is_connection_refused = isinstance(
                    error, ConnectionRefusedError
                )
                maybe_ran |= is_change and not is_connection_refused
                continue
            if status == OK:
                self._move_to_front(address)
                return data
            refusal = _refusal(data)
            if refusal.code in NO_EFFECT_CODES:
                raise refusal
            if refusal.exit is Exit.CONFIRMATION_NEEDED and not maybe_ran:
                raise refusal
            maybe_ran |= is_change and refusal.exit is not Exit.REFUSED
            if status < FIRST_SERVER_ERROR and not maybe_ran:
                raise refusal
        last = refusal or CommandError(Exit.NO_ANSWER, "\n".join(errors))
        if maybe_ran:
            raise CommandError(Exit.UNKNOWN, f"outcome unknown: {last.text}")
        raise last

    def _move_to_front(self, address: tuple[str, int]) -> None:
        """Move an entry to the front of the list.

        Otherwise each further request would first wait for entries that do
        not answer.
        """
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _exchange(self, address, method, path, body) -> tuple[int, Any]:
        connection = http.client.HTTPConnection(
            *address, timeout=self._timeout_s
        )
        try:
            connection.request(
                method,
                urllib.parse.quote(path, safe="/?=&"),
                body,
                {"Authorization": f"Bearer {self.key}"},
            )
            response = connection.getresponse()
            data = response.read()
        finally:
            connection.close()
        kind = response.headers.get_content_type()
        if kind != "application/json":
            return response.status, data.decode()
        try:
            return response.status, json.loads(data)
        except ValueError as error:
            raise http.client.HTTPException("response is not JSON") from error


def _error_text(address: tuple[str, int], error: Exception) -> str:
    host, port = address
    return f"{host}:{port}: {str(error) or type(error).__name__}"


def _refusal(data: Any) -> CommandError:
    if not isinstance(data, dict) or "code" not in data:
        return CommandError(Exit.NO_ANSWER, "response is not from an entry")
    exit_status = Exit.REFUSED
    if data.get("ran") != "no":
        exit_status = Exit.UNKNOWN
    elif data["code"] == CONFIRMATION_NEEDED.code:
        exit_status = Exit.CONFIRMATION_NEEDED
    reason = data.get("reason")
    text = f"{data['code']}: {reason}" if reason else data["code"]
    return CommandError(exit_status, text, data["code"])
