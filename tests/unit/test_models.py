"""Tests of the encoding of records and messages."""

import testtools

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import ForwardAnswer
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState


class CodecTest(testtools.TestCase):
    """Guards against records that change when written and read back."""

    def test_fleet_record_round_trip(self):
        """Guards against fields of the fleet record lost in the store."""
        vm = VmRecord(
            pool="quotes",
            state=VmState.DRAINING,
            instance="i-1",
            address="127.0.0.1:1",
            data_centre="Gent",
            rack="r1",
        )
        record = FleetRecord(vms={"vm-1": vm})
        data = codec.encode_compressed(record)
        self.assertEqual(record, codec.decode_compressed(data, FleetRecord))

    def test_forward_answer_round_trip(self):
        """Guards against answers that change between entries."""
        answer = Answer(status=200, headers=(("A", "b"),), body=b"x")
        message = ForwardAnswer(answer=answer)
        data = codec.encode(message)
        self.assertEqual(message, codec.decode(data, ForwardAnswer))

    def test_malformed_record_is_a_typed_failure(self):
        """Guards against exceptions on malformed records."""
        for data in (b"", b"\xff", codec.encode({"vms": 3})):
            failure = codec.decode(data, FleetRecord)
            self.assertIsInstance(failure, Failure)
            self.assertTrue(failure.is_a(RECORD_MALFORMED))
