"""Faults that clients outside the limits cause."""

from soak.faults import Fault
from tests.lib.client_crowd import chunked
from tests.lib.client_crowd import Crowd
from tests.lib.client_crowd import HEAD
from tests.lib.client_crowd import Sender
from tests.lib.client_crowd import sized
from tests.lib.nodes import HOST

__all__ = ["ClientCrowd"]

CONNECTIONS = 150
LARGE_BODY = 900_000
KINDS = (
    Sender(sized(9_000_000, 9_000_000)),
    Sender(sized(LARGE_BODY, LARGE_BODY)),
    Sender(sized(LARGE_BODY + 1, LARGE_BODY)),
    Sender(sized(LARGE_BODY, 700_000), b"x"),
    Sender(chunked(LARGE_BODY, 65536)),
    Sender(chunked(LARGE_BODY, 4096), b"1\r\nx\r\n"),
    Sender(chunked(50_000, 1)),
    Sender(HEAD, b"X-Field: 1\r\n"),
)


class ClientCrowd(Fault):
    """Sends large and incomplete requests to the callers' and probe ports.

    The leader is chosen if there is one, as it has the most to lose.
    """

    def begin(self):
        """Open the connections."""
        nodes = self.target.nodes
        choose = self.target.random.choice
        number = nodes.leader()
        if number is None:
            number = choose(sorted(nodes.addresses))
        callers, probe, _ = nodes.ports(number)
        self._crowds = [
            Crowd((HOST, port), [choose(KINDS) for _ in range(CONNECTIONS)])
            for port in (callers, probe)
        ]
        return f"{2 * CONNECTIONS} clients send to node {number}"

    def end(self):
        """Close the connections."""
        for crowd in self._crowds:
            crowd.close()
