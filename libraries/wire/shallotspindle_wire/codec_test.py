from dataclasses import dataclass
from typing import ClassVar

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotspindle_wire.codec import Codec, Malformed, UnknownKind, UnsupportedVersion


@dataclass(frozen=True, slots=True)
class Inner:
    number: int
    flag: bool = False


@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    data: bytes
    ratio: float
    inner: Inner
    pairs: tuple[tuple[str, int], ...]
    choice: Inner | None = None


def make_sample(name: str, cls: type = Sample, **extra):
    return cls(name, b"\0", 0.5, Inner(-3, True), (("a", 1),), **extra)


json_like = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class TestCodec:
    codec = Codec([Sample])

    @settings(derandomize=True, max_examples=200)
    @given(
        st.text(),
        st.floats(allow_nan=False),
        st.integers(-(2**63), 2**63 - 1),
        st.binary(),
    )
    def test_decoding_an_encoded_message_returns_it(self, name, ratio, number, data):
        # Guards against field values that are altered on the way to a peer.
        inner = Inner(number)
        sample = Sample(name, data, ratio, inner, ((name, number),), inner)
        assert self.codec.decode(self.codec.encode(sample)).ok == sample

    @settings(derandomize=True, max_examples=150)
    @given(st.binary())
    def test_random_bytes_are_a_failure(self, data):
        # Guards against bytes from a peer that raise an exception in the receiver.
        assert self.codec.decode(data).is_error()

    @settings(derandomize=True, max_examples=150)
    @given(st.lists(json_like, max_size=7))
    def test_random_fields_are_a_failure_or_a_message(self, values):
        # Guards against fields of a wrong type that raise an exception in the receiver.
        data = msgpack.packb([1, "sample", *values])
        result = self.codec.decode(data)
        assert result.is_error() or isinstance(result.ok, Sample)

    def test_bool_in_place_of_an_int_is_malformed(self):
        # Guards against a type check that accepts subclasses: bool is one of int.
        values = msgpack.unpackb(self.codec.encode(make_sample("a")))
        values[5][0] = True
        assert isinstance(self.codec.decode(msgpack.packb(values)).error, Malformed)


@dataclass(frozen=True, slots=True)
class Newer:
    """The message ``Sample`` of a newer build, which has one more field."""

    name: str
    data: bytes
    ratio: float
    inner: Inner
    pairs: tuple[tuple[str, int], ...]
    choice: Inner | None = None
    added: int = 7


Newer.__name__ = "Sample"


class TestVersions:
    old = Codec([Sample], version=1)
    new = Codec([Newer, Inner], version=2)

    def test_adjacent_versions_understand_each_other(self):
        # Guards against a rolling upgrade that splits the fleet, because the two builds
        # drop the messages of each other.
        newer = make_sample("a", Newer, added=9)
        assert self.old.decode(self.new.encode(newer)).ok == make_sample("a")
        assert self.new.decode(self.old.encode(make_sample("b"))).ok.added == 7

    def test_unknown_kind_and_unsupported_version_are_distinct_failures(self):
        # Guards against an unsupported peer that is taken for one with a new message.
        assert isinstance(self.old.decode(self.new.encode(Inner(1))).error, UnknownKind)
        unsupported = Codec([Sample], version=3).encode(make_sample("a"))
        assert isinstance(self.old.decode(unsupported).error, UnsupportedVersion)


@dataclass(frozen=True, slots=True)
class Renamed:
    KIND: ClassVar[str] = "former"

    number: int


class TestKinds:
    def test_a_renamed_class_keeps_its_kind(self):
        # Guards against a renamed message that the previous or next build ignores.
        encoded = Codec([Renamed]).encode(Renamed(3))

        assert msgpack.unpackb(encoded) == [1, "former", 3]
        assert Codec([Renamed]).decode(encoded).ok == Renamed(3)
