"""Tests of messages between processes, also with peers that fail."""

import itertools
import threading
import time
from unittest import mock

import attrs
import msgspec
import testtools
import zmq

from rosemarynotch._internal.configuration.freshness import STALE_AFTER_S
from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models import messages
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.peers import Exchange
from rosemarynotch._internal.peers import exchange as exchange_module
from rosemarynotch._internal.peers.exchange import METRICS_LIMIT_BYTES
from rosemarynotch._internal.peers.latest_heartbeats import LatestHeartbeats
from rosemarynotch._internal.peers.rows import HeartbeatDecoder
from rosemarynotch._internal.peers.rows import HeartbeatEncoder
from rosemarynotch._internal.peers.rows import MAX_ROWS
from rosemarynotch._internal.peers.server import WORKERS_COUNT
from rosemarynotch._internal.peers import Timing
from rosemarynotch._internal.peers.wire import decode_message
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import MESSAGE_LIMIT_BYTES
from rosemarynotch._internal.utils.clock import SystemClock
from tests.lib.clocks import ManualClock
from tests.lib.counts import Counts
from tests.lib.exchanges import ANY_PORT
from tests.lib.exchanges import ExchangePairCase
from tests.lib.exchanges import FAST
from tests.lib.exchanges import forward
from tests.lib.exchanges import TIMEOUT_S
from tests.lib.exchanges import wait_for
from tests.lib.fleet import control
from tests.lib.fleet import heartbeat
from tests.lib.fleet import member


class RawPeer:
    """A peer whose answers a test defines.

    :ivar answer: function of a message that returns the frames to send back
    """

    def __init__(self, answer):
        self.answer = answer
        self.received = []
        self._stopped = False
        self._context = zmq.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        port = self._socket.bind_to_random_port("tcp://127.0.0.1")
        self.address = f"127.0.0.1:{port}"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def kinds(self):
        """Return the kinds of the messages received."""
        return [message.kind for _, message in list(self.received)]

    def stop(self):
        """End the peer."""
        self._stopped = True
        self._thread.join()
        self._context.destroy(linger=0)

    def _run(self):
        while not self._stopped:
            if not self._socket.poll(10):
                continue
            identity, data = self._socket.recv_multipart()
            message = decode_message(data)
            self.received.append((identity, message))
            for frame in self.answer(message):
                self._socket.send_multipart([identity, frame])


ACK = encode_message(Message(Kind.ACK))


def acknowledge(message):
    """Acknowledge probes and heartbeats; answer no request."""
    if message.kind in (Kind.PROBE, Kind.HEARTBEAT):
        return [ACK]
    return []


class FaultTableTest(testtools.TestCase):
    """Guards against reports of "not run" for requests that ran (P6, P7)."""

    def setUp(self):
        super().setUp()
        self.counts = Counts()
        self.members = MembersView()
        self.exchange = Exchange(
            member("a", address=ANY_PORT),
            self.members,
            SystemClock(),
            self.counts,
            FAST,
        )
        self.exchange.start()
        self.addCleanup(self.exchange.stop)

    def peer(self, answer, revision=1):
        peer = RawPeer(answer)
        self.addCleanup(peer.stop)
        record = MembersRecord(
            members={"b": member("b", address=peer.address)}
        )
        self.members.apply(record, revision)
        return peer

    def connected_peer(self, answer):
        peer = self.peer(answer)
        wait_for(lambda: self.exchange.connected() == ["b"])
        return peer

    def assert_failure(self, result, kind, ran):
        self.assertIsInstance(result, Failure)
        self.assertEqual((kind.code, ran), (result.code, result.ran))

    def test_unknown_member(self):
        """Guards against an unknown outcome if the member is not listed."""
        result = self.exchange.forward("z", forward(), 1)
        self.assert_failure(result, failures.PEER_UNREACHABLE, Ran.NO)

    def test_peer_that_never_answered(self):
        """Guards against an unknown outcome without a connection."""
        record = MembersRecord(
            members={"b": member("b", address="127.0.0.1:9")}
        )
        self.members.apply(record, 1)
        result = self.exchange.forward("b", forward(), 1)
        self.assert_failure(result, failures.PEER_UNREACHABLE, Ran.NO)

    def test_peer_that_does_not_answer(self):
        """Guards against "not run" for a request that was sent."""
        peer = self.connected_peer(acknowledge)
        result = self.exchange.forward("b", forward(), 0.3)
        self.assert_failure(result, failures.PEER_TIMEOUT, Ran.UNKNOWN)
        self.assertIn(Kind.FORWARD, peer.kinds())

    def test_peer_that_stops_answering_gets_no_forward(self):
        """Guards against forwards over a link that no longer works.

        A new link has to be used once the peer answers again.
        """
        peer = self.connected_peer(acknowledge)
        peer.answer = lambda message: []
        wait_for(lambda: not self.exchange.connected())
        result = self.exchange.forward("b", forward(), 1)
        self.assert_failure(result, failures.PEER_UNREACHABLE, Ran.NO)
        self.assertNotIn(Kind.FORWARD, peer.kinds())
        wait_for(lambda: self.counts.by_name["peer_links_replaced"])
        peer.answer = acknowledge
        wait_for(self.exchange.connected)
        self.assertGreater(len({who for who, _ in peer.received}), 1)

    def test_connection_lost_while_waiting(self):
        """Guards against waiting until the deadline on a lost link.

        The request was sent, so its outcome is unknown.
        """
        peer = self.connected_peer(acknowledge)

        def stop_answering(message):
            if message.kind is Kind.FORWARD:
                peer.answer = lambda message: []
            return acknowledge(message)

        peer.answer = stop_answering
        result = self.exchange.forward("b", forward(), 3600)
        self.assert_failure(result, failures.PEER_TIMEOUT, Ran.UNKNOWN)

    def test_other_protocol_version(self):
        """Guards against forwards to a program with another protocol."""
        other = msgspec.msgpack.encode([2, "ack", {"layout": "other"}])
        peer = self.peer(lambda message: [other])
        wait_for(lambda: self.counts.by_name["peer_messages_refused"])
        result = self.exchange.forward("b", forward(), 1)
        self.assert_failure(result, failures.PEER_VERSION, Ran.NO)
        self.assertNotIn(Kind.FORWARD, peer.kinds())

    def test_late_answer_is_dropped(self):
        """Guards against taking a late answer for that of the next request."""
        held = []

        def answer_late(message):
            if message.kind is not Kind.FORWARD:
                return acknowledge(message)
            body = codec.encode(
                messages.ForwardAnswer(
                    answer=messages.Answer(
                        status=200 + message.request_id, headers=(), body=b""
                    )
                )
            )
            kind = Kind.FORWARD_ANSWER
            held.append(
                encode_message(Message(kind, message.request_id, body))
            )
            return list(held) if len(held) > 1 else []

        self.connected_peer(answer_late)
        first = self.exchange.forward("b", forward(), 0.3)
        self.assert_failure(first, failures.PEER_TIMEOUT, Ran.UNKNOWN)
        second = self.exchange.forward("b", forward(), TIMEOUT_S)
        self.assertEqual(202, second.answer.status)
        self.assertEqual(1, self.counts.by_name["peer_answers_late"])

    def answer_metrics(self, body):
        def answer(message):
            if message.kind is not Kind.METRICS_REQUEST:
                return acknowledge(message)
            kind = Kind.METRICS_ANSWER
            return [encode_message(Message(kind, message.request_id, body))]

        return answer

    def test_metrics_that_are_missing_malformed_or_too_large(self):
        """Guards against exceptions and memory use by metrics of a peer."""
        peer = self.connected_peer(acknowledge)
        result = self.exchange.fetch_metrics("b", 0.3)
        self.assert_failure(result, failures.PEER_TIMEOUT, Ran.UNKNOWN)
        large = codec.encode(
            messages.MetricsAnswer(
                counters={}, histograms={"h": bytes(METRICS_LIMIT_BYTES)}
            )
        )
        for body, kind in (
            (b"rubbish", failures.RECORD_MALFORMED),
            (codec.encode({"counters": []}), failures.RECORD_MALFORMED),
            (large, failures.BODY_TOO_LARGE),
        ):
            peer.answer = self.answer_metrics(body)
            result = self.exchange.fetch_metrics("b", TIMEOUT_S)
            self.assert_failure(result, kind, Ran.UNKNOWN)

    def test_message_over_the_size_limit_is_not_received(self):
        """Guards against memory use by large messages.

        The link must work again afterwards.
        """
        peer = self.connected_peer(acknowledge)
        peer.answer = self.answer_metrics(bytes(MESSAGE_LIMIT_BYTES))
        result = self.exchange.fetch_metrics("b", 1)
        self.assert_failure(result, failures.PEER_TIMEOUT, Ran.UNKNOWN)
        answer = messages.MetricsAnswer(counters={"c": 1}, histograms={})
        peer.answer = self.answer_metrics(codec.encode(answer))
        wait_for(lambda: self.exchange.fetch_metrics("b", 1) == answer)

    def test_restarted_member_gets_a_new_link(self):
        """Guards against forwards to the old address of a member."""
        self.connected_peer(acknowledge)
        new = self.peer(acknowledge, revision=2)
        wait_for(lambda: self.exchange.connected() == ["b"])
        self.exchange.forward("b", forward(), 0.3)
        wait_for(lambda: Kind.FORWARD in new.kinds())

    def test_stop_while_connections_are_not_freed(self):
        """Guards against a process that does not end."""
        done = threading.Event()
        destroy = zmq.Context.destroy

        def wait(context, linger):
            done.wait(10 * TIMEOUT_S)
            destroy(context, linger)

        stopped = Exchange(
            member("c", address=ANY_PORT),
            self.members,
            SystemClock(),
            self.counts,
        )
        stopped.start()
        with (
            mock.patch.object(zmq.Context, "destroy", wait),
            mock.patch.object(exchange_module, "TERMINATION_TIMEOUT_S", 0.1),
        ):
            stopping = threading.Thread(target=stopped.stop, daemon=True)
            stopping.start()
            stopping.join(TIMEOUT_S)
            self.addCleanup(done.set)
            self.assertFalse(stopping.is_alive())

    def test_second_process_cannot_bind_the_address(self):
        """Guards against two processes that share an address."""
        second = Exchange(
            member("c", address=self.exchange.bind()),
            self.members,
            SystemClock(),
            self.counts,
        )
        self.assertRaises(SettingsError, second.bind)
        second.stop()


class PairTest(ExchangePairCase):
    """Guards against messages between two processes that get lost."""

    def test_forward_hint_and_document(self):
        """Guards against messages that do not arrive or are changed."""
        a, b = self.exchanges["a"], self.exchanges["b"]
        answer = messages.Answer(status=201, headers=(), body=b"y" * 10**6)
        b.set_forward_handler(lambda _: messages.ForwardAnswer(answer=answer))
        result = a.forward("b", forward(), TIMEOUT_S)
        self.assertEqual(answer, result.answer)
        teams = []
        b.add_limit_listener(teams.append)
        a.send_limit_changed("b", "ledger")
        wait_for(lambda: teams == ["ledger"])
        document = messages.DocumentAnswer(pointer=b"p", document=b"d")
        missing = a.fetch_document("b", 3)
        self.assertTrue(missing.is_a(failures.STORE_KEY_MISSING))
        b.set_document_source(lambda version: document)
        self.assertEqual(document, a.fetch_document("b", 3))

    def test_metrics_do_not_wait_for_forwards(self):
        """Guards against metrics that time out behind slow forwards."""
        a, b = self.exchanges["a"], self.exchanges["b"]
        self.assertTrue(
            a.fetch_metrics("b", TIMEOUT_S).is_a(failures.SHUTTING_DOWN)
        )
        answer = messages.MetricsAnswer(counters={"c": 1}, histograms={})
        b.set_metrics_source(lambda: answer)
        done, entered = threading.Event(), threading.Semaphore(0)

        def wait(_):
            entered.release()
            done.wait(TIMEOUT_S)

        def send():
            # On a busy machine acknowledgements may be late, and a forward
            # is then refused as not run.
            while a.forward("b", forward(), 3600).ran is Ran.NO:
                done.wait(0.1)

        b.set_forward_handler(wait)
        senders = [threading.Thread(target=send) for _ in range(WORKERS_COUNT)]
        self.addCleanup(done.set)
        for sender in senders:
            sender.daemon = True
            sender.start()
        for _ in senders:
            self.assertTrue(entered.acquire(timeout=TIMEOUT_S))

        def fetch():
            # Repeated while it is refused, as above. A request that waited
            # for the forwards would end with a time-out instead.
            end_s = time.monotonic() + TIMEOUT_S
            while True:
                found = a.fetch_metrics("b", TIMEOUT_S)
                is_refused = isinstance(found, failures.Failure) and (
                    found.is_a(failures.PEER_UNREACHABLE)
                )
                if not is_refused or time.monotonic() > end_s:
                    return found
                done.wait(0.1)

        self.assertEqual(answer, fetch())

    def test_error_in_a_handler_is_an_unknown_outcome(self):
        """Guards against a link that ends with an error in a handler."""
        a, b = self.exchanges["a"], self.exchanges["b"]
        b.set_forward_handler(lambda _: 1 / 0)
        result = a.forward("b", forward(), 0.5)
        self.assertIs(Ran.UNKNOWN, result.ran)
        self.assertTrue(a.connected())

    def test_heartbeats_arrive(self):
        """Guards against heartbeats that are lost or changed."""
        a, b = self.exchanges["a"], self.exchanges["b"]
        sent = []

        def source():
            sent.append(heartbeat("a", sequence=len(sent) + 1))
            return sent[-1]

        a.set_heartbeat_source(source)
        a.send_soon()
        wait_for(lambda: b.heard())
        self.assertIn(b.heard()["a"].heartbeat, sent)


class ParticipantsTest(testtools.TestCase):
    """Guards against links to control processes that do not lead.

    Also guards against entries that send no heartbeats to the leader.
    """

    def setUp(self):
        super().setUp()
        self.members = {
            "a": member("a", address=ANY_PORT),
            "b": member("b", address=ANY_PORT),
            "x": control("x", address=ANY_PORT),
            "y": control("y", address=ANY_PORT),
        }
        self.exchanges = {}
        views = []
        for name, me in self.members.items():
            view = MembersView()
            exchange = Exchange(me, view, SystemClock(), Counts(), FAST)
            numbers = itertools.count(1)
            exchange.set_heartbeat_source(
                lambda name=name, numbers=numbers: heartbeat(
                    name, sequence=next(numbers)
                )
            )
            exchange.start()
            self.addCleanup(exchange.stop)
            self.exchanges[name] = exchange
            views.append(view)
        record = MembersRecord(
            members={
                name: attrs.evolve(
                    me, peer_address=self.exchanges[name].bind()
                )
                for name, me in self.members.items()
            }
        )
        for view in views:
            view.apply(record, 1)
        self.wait_for_links(a="b", b="a", x="", y="")

    def wait_for_links(self, **links):
        """Wait until each has acknowledged links to exactly these peers."""
        for name, peers in links.items():
            wait_for(
                lambda: "".join(self.exchanges[name].connected()) == peers
            )

    def test_leader_and_entries_exchange_heartbeats_until_it_changes(self):
        """Guards against links to a former leader and none to the new one."""
        x, y = self.exchanges["x"], self.exchanges["y"]
        x.set_leading(True)
        self.wait_for_links(a="bx", b="ax", x="ab", y="")
        wait_for(lambda: sorted(x.heard()) == ["a", "b"])
        self.assertEqual({}, y.heard())
        x.set_leading(False)
        y.set_leading(True)
        self.wait_for_links(a="by", b="ay", x="", y="ab")
        wait_for(lambda: sorted(y.heard()) == ["a", "b"])
        y.set_leading(False)
        x.set_leading(True)
        self.wait_for_links(a="bx", b="ax", x="ab", y="")
        wait_for(lambda: x.heard()["a"].age_s < 1)

    def test_entry_can_fetch_a_document_from_the_leader(self):
        """Guards against entries that cannot get documents of the leader."""
        x = self.exchanges["x"]
        document = messages.DocumentAnswer(pointer=b"p", document=b"d")
        x.set_document_source(lambda version: document)
        x.set_leading(True)
        self.wait_for_links(a="bx")
        found = self.exchanges["a"].fetch_document("x", 1)
        self.assertEqual(document, found)

    def test_period_of_30_entries_is_below_the_freshness_limit(self):
        """Guards against heartbeats too rare to keep entries fresh.

        The period grows with the number of entries.
        """
        timing = Timing()
        self.assertLess(timing.period_for(30), STALE_AFTER_S)
        self.assertLess(timing.period_for(6), timing.period_for(30))


class RowsTest(testtools.TestCase):
    """Guards against demand rows that differ at sender and receiver."""

    def row(self, team, queued=0, running=0, worth=0.0):
        return messages.DemandRow(
            pool="p",
            team=team,
            queued_requests=queued,
            running_requests=running,
            served_worth=worth,
            slot_s=worth / 2,
        )

    def transfer(self, *rows, lost=False, **fields):
        sent = heartbeat("b", demand=rows, **fields)
        data = self.encoder.encode(sent)
        if lost:
            return data, None
        decoded = self.decoder.decode(data, lambda _: True)
        return data, {row.team: row for row in decoded.demand}

    def setUp(self):
        super().setUp()
        self.encoder = HeartbeatEncoder()
        self.decoder = HeartbeatDecoder()

    def test_changed_and_idle_rows_are_sent(self):
        """Guards against rows that keep an old value at the receiver."""
        start = (self.row("s", 8, 2), self.row("t", 1, 1, 3.5))
        _, rows = self.transfer(*start)
        self.assertEqual({"s": start[0], "t": start[1]}, rows)
        _, rows = self.transfer(self.row("s", 9, 2))
        self.assertEqual(self.row("s", 9, 2), rows["s"])
        self.assertEqual(self.row("t", 0, 0, 3.5), rows["t"])

    def test_many_changes_are_sent_over_several_heartbeats(self):
        """Guards against heartbeats that are too long, and lost changes."""

        def demand_rows(queued):
            return [self.row(f"t{n}", queued) for n in range(2 * MAX_ROWS)]

        self.transfer(*demand_rows(8))
        _, rows = self.transfer(*demand_rows(9)[:-1])
        changed = [row for row in rows.values() if row.queued_requests != 8]
        self.assertEqual(MAX_ROWS, len(changed))
        self.assertEqual(0, rows[f"t{2 * MAX_ROWS - 1}"].queued_requests)
        _, rows = self.transfer(*demand_rows(9)[:-1])
        self.assertEqual(
            {9, 0}, {row.queued_requests for row in rows.values()}
        )

    def test_complete_heartbeat_replaces_a_lost_one(self):
        """Guards against rows that are wrong after a lost heartbeat."""
        self.transfer(self.row("s", 8))
        self.transfer(self.row("s", 8), self.row("t", 5), lost=True)
        _, rows = self.transfer(self.row("s", 20), self.row("t", 50))
        self.assertEqual({"s": self.row("s", 20)}, rows)
        self.encoder.send_complete()
        _, rows = self.transfer(self.row("s", 20), self.row("t", 50))
        self.assertEqual(self.row("t", 50), rows["t"])

    def test_refused_heartbeat_changes_no_rows(self):
        """Guards against rows from a process that has been replaced."""
        self.transfer(self.row("s", 8))
        other = HeartbeatEncoder().encode(heartbeat("b", incarnation="i0"))
        self.assertIsNone(self.decoder.decode(other, lambda _: False))
        _, rows = self.transfer()
        self.assertEqual({"s": self.row("s")}, rows)

    def test_long_truncated_and_unusual_heartbeats(self):
        """Guards against lost rows and against exceptions when decoding."""
        fields = {
            "store_age_s": float("inf"),
            "running_by_vm": {"v": 2},
            "short_teams": ("s",),
            "ejected_vms": ("w",),
            "alarms": ("list is empty",),
        }
        demand_rows = tuple(self.row(f"team-{n}", n) for n in range(45))
        data, rows = self.transfer(*demand_rows)
        self.assertEqual(demand_rows, tuple(rows.values()))
        truncated = HeartbeatDecoder().decode(data[:-9], lambda _: True)
        self.assertIsNone(truncated)
        self.encoder = HeartbeatEncoder()
        data, _ = self.transfer(**fields)
        decoded = HeartbeatDecoder().decode(data, lambda _: True)
        self.assertEqual(
            heartbeat("b", **{**fields, "store_age_s": 1e6}), decoded
        )

    def test_layouts_of_earlier_and_later_programs(self):
        """Guards against refusing heartbeats of other program versions.

        These run beside each other during an upgrade.
        """
        # Without alarms, the layout is the one that earlier programs know.
        data = HeartbeatEncoder().encode(heartbeat("b"))
        fields = msgspec.msgpack.decode(data[1:])
        self.assertEqual(14, len(fields))
        for later in ([], [["list is empty"]], [["list is empty"], "later"]):
            encoded = data[:1] + msgspec.msgpack.encode(fields + later)
            decoded = HeartbeatDecoder().decode(encoded, lambda _: True)
            alarms = tuple(later[0]) if later else ()
            self.assertEqual(heartbeat("b", alarms=alarms), decoded)


class LatestHeartbeatsTest(testtools.TestCase):
    """Guards against heartbeats of a process that has been replaced."""

    def test_which_heartbeats_are_accepted(self):
        """Guards against old, repeated and unlisted heartbeats."""
        view = MembersView()
        record = MembersRecord(members={"b": member("b", incarnation="i2")})
        view.apply(record, 5)
        latest = LatestHeartbeats(view, ManualClock())
        table = [
            ("i1", 9, 5, False, "replaced incarnation"),
            ("i2", 1, 4, True, "registered incarnation"),
            ("i2", 1, 5, False, "repeated"),
            ("i2", 3, 5, True, "next"),
            ("i2", 2, 5, False, "late"),
            ("i3", 1, 6, True, "incarnation of a newer record"),
            ("i2", 3, 5, False, "late after a newer incarnation"),
        ]
        for incarnation, sequence, revision, is_accepted, reason in table:
            received = heartbeat(
                "b", incarnation, sequence, members_revision=revision
            )
            self.assertEqual(is_accepted, latest.accepts(received), reason)
            if is_accepted:
                latest.record(received)
        unknown = heartbeat("z", members_revision=5)
        self.assertFalse(latest.accepts(unknown))
