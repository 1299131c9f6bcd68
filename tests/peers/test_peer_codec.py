"""Tests of the encoding of messages between routers."""

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
def test_frames_round_trip(codec: PeerCodec, frame: PeerFrame) -> None:
    """Guards against fields that change their type in the encoding."""
    assert codec.decode(codec.encode(frame)) == frame


@given(encoded=st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_frame_error(
    codec: PeerCodec,
    encoded: bytes,
) -> None:
    """Guards against other errors, which would end a connection's reader."""
    with contextlib.suppress(FrameError):
        codec.decode(encoded)


@given(fields=CBOR_VALUES, kind=CBOR_VALUES)
def test_arbitrary_fields_decode_or_raise_frame_error(
    codec: PeerCodec,
    fields: object,
    kind: object,
) -> None:
    """Guards against other errors for valid CBOR that is not a message."""
    for parts in (fields, [kind, 0, ['Ping', fields]], [0, 0, fields]):
        with contextlib.suppress(FrameError):
            codec.decode(cbor2.dumps(parts))


@given(frame=FRAMES, position=st.integers(0, 200), mask=st.integers(1, 255))
def test_corrupted_frames_decode_or_raise_frame_error(
    codec: PeerCodec,
    frame: PeerFrame,
    position: int,
    mask: int,
) -> None:
    """Guards against other errors for frames with one corrupted byte."""
    encoded = bytearray(codec.encode(frame))
    encoded[position % len(encoded)] ^= mask
    with contextlib.suppress(FrameError):
        codec.decode(bytes(encoded))


def test_unknown_message_type_has_its_own_error(codec: PeerCodec) -> None:
    """Guards against a malformed frame treated as an unknown message type.

    The dispatcher ignores unknown types until all services have started.
    """
    frame = PeerFrame(FrameKind.MESSAGE, 0, Unregistered(1))
    with pytest.raises(UnknownMessageError, match='Unregistered'):
        codec.decode(codec.encode(frame))


def test_tags_are_unique(codec: PeerCodec) -> None:
    """Guards against two services that use the same tag for messages."""

    class Ping(PeerMessage, frozen=True):
        """Message with the tag of another one."""

    with pytest.raises(ValueError, match='Ping'):
        codec.register(Ping)


@pytest.mark.parametrize(
    'fields',
    [
        ['Ping', 10**400],
        ['Ping', float('nan')],
        ['Bouquet', 10**400, -(10**400)],
        [10**5000],
        ['x' * 100_000],
    ],
)
def test_odd_values_decode_or_raise_frame_error(
    codec: PeerCodec, fields: list[object]
) -> None:
    """Guards against numbers and names that end a connection's reader."""
    for parts in ([0, 0, fields], [0, 10**400, fields], [10**400, 0, fields]):
        with contextlib.suppress(FrameError):
            codec.decode(cbor2.dumps(parts))


@pytest.mark.parametrize(
    'start', [b'\x81', b'\x83\x00\x00\x81', b'\xa1\x61a', b'\xd8\x1c\x81']
)
def test_deep_frames_raise_frame_error(codec: PeerCodec, start: bytes) -> None:
    """Guards against nesting that ends a connection's reader."""
    for depth in (300, 20_000):
        with pytest.raises(FrameError):
            codec.decode(start * depth + b'\x80')
