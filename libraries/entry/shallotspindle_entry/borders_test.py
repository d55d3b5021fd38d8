"""Property tests of what an instance reads from the store and from its peers."""

import json
import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotspindle_core import bounds
from shallotspindle_entry import claims, headers
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.coordination import MESSAGE_TYPES
from shallotspindle_entry.stored_form_test import CLAIM
from shallotspindle_entry.wire_form_test import MESSAGES
from shallotspindle_validation.documents_test import draw_malformed_bytes
from shallotspindle_wire import envelopes, frames
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.frames import Direction, FrameDecoder

COLUMNS = {"holders": ["a", "b"], "indexes": [0, 1, -1], "epochs": [1, 2, 0]}
CODEC = Codec(MESSAGE_TYPES)
ENVELOPE_CODEC = Codec(envelopes.ENVELOPE_TYPES)


class TestStoredForms:
    @given(draw_malformed_bytes(COLUMNS))
    def test_ownership_table(self, data):
        # Guards against a damaged table that ends the task that reads it.
        decoded = records.decode_table(zlib.compress(data), 1)
        if decoded.is_ok():
            assert all(entry.epoch >= 0 for entry in decoded.ok.entries.values())

    @given(st.binary(max_size=100))
    def test_bytes_that_are_no_ownership_table(self, data):
        # Guards against an error of the decompression.
        assert records.decode_table(data, 1).is_error()

    @given(draw_malformed_bytes({"counter": 3, "address": "10.0.0.1:1", "domain": "a"}))
    def test_session(self, data):
        # Guards against a damaged record that ends the task that observes sessions.
        assert records.decode_counter(data) >= 0

    @given(draw_malformed_bytes([1.5, [CLAIM]]))
    def test_handed_over_claims(self, data):
        # Guards against a handover whose damaged state ends the receiver's task.
        decoded = claims.decode_snapshot(data)
        assert decoded.is_ok() or decoded.error


class TestReportedLoads:
    @pytest.mark.parametrize(
        "text", ["inf", "1e999", "nan", "-1", "-inf", "1e300", "1001", "", "2,0,4"]
    )
    def test_a_load_that_is_none_is_ignored(self, text):
        # Guards against one response that keeps the average load of a service infinite,
        # which reduces its concurrent requests to the minimum until the restart.
        assert headers.read_load({headers.LOAD: text}) is None

    @pytest.mark.parametrize(("text", "load"), [("0", 0.0), ("1.5", 1.5), ("1e3", 1e3)])
    def test_a_load_within_the_bounds_is_read(self, text, load):
        # Guards against bounds that hide the load of a crowded upstream.
        assert headers.read_load({headers.LOAD: text}) == load

    @given(st.text(max_size=20))
    def test_any_text(self, text):
        # Guards against a header that raises in the attempt.
        load = headers.read_load({headers.LOAD: text})
        assert load is None or 0 <= load <= bounds.MAX_LOAD


class TestPeerMessages:
    @given(st.sampled_from(MESSAGES), st.data())
    def test_a_message_with_malformed_fields(self, message, data):
        # Guards against a message of a peer that raises in the decoder.
        values = msgpack.unpackb(msgpack.packb(message[1]))
        index = data.draw(st.integers(0, len(values) - 1))
        malformed = st.one_of(
            st.none(), st.integers(-(2**63), 2**64 - 1), st.floats(), st.text()
        )
        values[index] = data.draw(malformed)
        for codec in (CODEC, ENVELOPE_CODEC):
            decoded = codec.decode(msgpack.packb(values))
            assert decoded.is_ok() or decoded.error

    @given(st.lists(st.binary(max_size=60), max_size=5))
    def test_a_stream_of_any_bytes(self, parts):
        # Guards against a connection whose bytes raise in the task that reads it.
        key = frames.derive_key(b"s" * 32, b"d" * 16, b"l" * 16, Direction.DIALER)
        decoder = FrameDecoder(key)
        for part in parts:
            decoded = decoder.feed(part)
            if decoded.is_error():
                break
            assert decoded.ok == ()

    def test_the_samples_are_valid(self):
        # Guards against property tests that reject everything.
        assert json.loads(json.dumps(COLUMNS)) == COLUMNS
        assert records.decode_table(zlib.compress(json.dumps(COLUMNS).encode()), 1)
