"""Decoding of documents, and the malformed ones that the tests of borders draw."""

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import BaseModel, TypeAdapter

from shallotspindle_core import bounds
from shallotspindle_validation import documents, fields

MALFORMED_NUMBERS = st.sampled_from(
    [0, -1, 99_999, 2**31, 2**53, 2**63, 2**64, 10**30, 10**400, 1e300, 1e-300, -0.5]
)
MALFORMED_TEXTS = st.sampled_from(
    [
        "",
        "\x00",
        "a\r\nb",
        "a" * 5000,
        "1" * 5000,
        "10.0.0.1:99999",
        "999.1.1.1:80",
        "....:80",
        "1e999s",
        "-1s",
        "r-1",
        "\u0661",
    ]
)
MALFORMED_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    MALFORMED_NUMBERS,
    st.integers(),
    st.floats(),
    MALFORMED_TEXTS,
    st.text(max_size=20),
)
MALFORMED_VALUES = st.recursive(
    MALFORMED_LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)
# Texts that no JSON library writes.
MALFORMED_BYTES = st.one_of(
    st.binary(max_size=200),
    st.sampled_from(
        [
            b"",
            b"\xff\xfe",
            b"[" * 100_000,
            b'{"a":' * 50_000,
            b"1e999",
            b"-" + b"9" * 10_000,
            b'"\\ud800"',
            b"\xef\xbb\xbf{}",
        ]
    ),
)


def list_paths(document: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values inside a document."""
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        return []
    return [
        each
        for key, value in items
        for each in ((*path, key), *list_paths(value, (*path, key)))
    ]


@st.composite
def draw_malformed_documents(draw: st.DrawFn, document: Any) -> bytes:
    """Return a document of which some values were replaced or removed, as JSON."""
    changed = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 3))):
        paths = list_paths(changed)
        if not paths:
            break
        *parents, last = draw(st.sampled_from(paths))
        container = changed
        for key in parents:
            container = container[key]
        if draw(st.booleans()):
            container[last] = draw(MALFORMED_VALUES)
        else:
            del container[last]
    return json.dumps(changed).encode()


def draw_malformed_bytes(document: Any) -> st.SearchStrategy[bytes]:
    """Return malformed documents, cut documents and bytes that are no document."""
    malformed = draw_malformed_documents(document)
    cut = st.builds(lambda data, size: data[:size], malformed, st.integers(0, 200))
    return st.one_of(
        malformed,
        cut,
        MALFORMED_BYTES,
        MALFORMED_VALUES.map(lambda v: json.dumps(v).encode()),
    )


class Sample(BaseModel):
    address: fields.Ipv4Address
    slots: fields.Slots
    rate: fields.Rate = 0.0


SAMPLE = {"address": "10.0.0.1:80", "slots": 2, "rate": 1.5}


class TestDecoding:
    @given(draw_malformed_bytes(SAMPLE))
    def test_any_bytes_give_a_value_within_its_bounds_or_failures(self, data):
        # Guards against an exception in a task that reads what others wrote.
        decoded = documents.decode_model(Sample, "sample", data)
        if decoded.is_error():
            assert all(failure.source == "sample" for failure in decoded.error)
            return
        assert 1 <= decoded.ok.slots <= bounds.MAX_SLOTS
        assert 0 <= decoded.ok.rate <= bounds.MAX_REQUESTS_PER_SECOND

    @given(draw_malformed_bytes(SAMPLE))
    def test_any_bytes_are_a_json_value_or_a_failure(self, data):
        # Guards against a RecursionError or a ValueError out of a JSON library.
        decoded = documents.decode_json("sample", data)
        assert decoded.is_ok() or decoded.error.source == "sample"

    def test_each_invalid_field_has_a_failure(self):
        # Guards against an operator who must correct a document one error at a time.
        data = json.dumps({"address": "nowhere", "slots": 0}).encode()
        failures = documents.decode_model(Sample, "sample", data).error
        assert [failure.item for failure in failures] == ["address", "slots"]

    def test_text_numbers_are_read_only_where_they_are_expected(self):
        # Guards against a text that is taken for a number by accident.
        adapter = TypeAdapter(fields.Revision)
        assert documents.decode_lax(adapter, "sample", b'"12"').ok == 12
        assert documents.decode_with(adapter, "sample", b'"12"').is_error()


class TestFields:
    @pytest.mark.parametrize("name", ["", "a\nb", "a\x7f", "a" * 300])
    def test_a_name_fits_into_a_header(self, name):
        # Guards against a name that breaks the head of a request.
        adapter = TypeAdapter(fields.Name)
        assert documents.check_with(adapter, "sample", name).is_error()
