"""Failures of the encoding of messages."""

import contextlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import (
    FrameError,
    FrameKind,
    PeerFrame,
    UnknownMessageError,
)
from pollenloom.peers.peer_message import PeerMessage
from tests.peers.messages import Bouquet, Ping, Unregistered

INTEGERS = st.integers(min_value=-(2**63), max_value=2**64 - 1)
FRAMES = st.builds(
    PeerFrame,
    st.sampled_from(FrameKind),
    st.integers(min_value=0, max_value=2**53),
    # NaN is not equal to itself.
    st.from_type(Bouquet).filter(lambda sent: sent.weight == sent.weight),
)
CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | INTEGERS | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


@pytest.fixture(scope='module')
def codec() -> PeerCodec:
    return PeerCodec(Bouquet, Ping)


@given(frame=FRAMES)
def test_frames_come_back_as_sent(codec: PeerCodec, frame: PeerFrame) -> None:
    """Guards against fields that lose their type on the way."""
    assert codec.decode(codec.encode(frame)) == frame


@given(encoded=st.binary(max_size=300))
def test_any_bytes_decode_or_fail_alike(
    codec: PeerCodec,
    encoded: bytes,
) -> None:
    """Guards against errors that escape the reader of a connection."""
    with contextlib.suppress(FrameError):
        codec.decode(encoded)


@given(fields=CBOR_VALUES, kind=CBOR_VALUES)
def test_any_fields_decode_or_fail_alike(
    codec: PeerCodec,
    fields: object,
    kind: object,
) -> None:
    """Guards against valid CBOR that is no message."""
    for parts in (fields, [kind, 0, ['Ping', fields]], [0, 0, fields]):
        with contextlib.suppress(FrameError):
            codec.decode(cbor2.dumps(parts))


@given(frame=FRAMES, place=st.integers(0, 200), flip=st.integers(1, 255))
def test_changed_bytes_decode_or_fail_alike(
    codec: PeerCodec,
    frame: PeerFrame,
    place: int,
    flip: int,
) -> None:
    """Guards against errors in frames that are nearly right."""
    encoded = bytearray(codec.encode(frame))
    encoded[place % len(encoded)] ^= flip
    with contextlib.suppress(FrameError):
        codec.decode(bytes(encoded))


def test_unknown_types_are_told_apart(codec: PeerCodec) -> None:
    """Guards against a broken frame taken for one of a later service."""
    frame = PeerFrame(FrameKind.MESSAGE, 0, Unregistered(1))
    with pytest.raises(UnknownMessageError, match='Unregistered'):
        codec.decode(codec.encode(frame))


def test_tags_are_unique(codec: PeerCodec) -> None:
    """Guards against two services that use one name for their messages."""

    class Ping(PeerMessage, frozen=True):
        """Has the tag of another message."""

    with pytest.raises(ValueError, match='Ping'):
        codec.register(Ping)
