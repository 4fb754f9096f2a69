"""Frames survive the trip; anything else is refused, in bounded memory."""

import gc
import tracemalloc
from dataclasses import fields
from typing import Any, get_args, get_type_hints

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamespoke import codec
from sesamespoke.ledger_messages import SiteCounts
from sesamespoke.messages import (
    Heartbeat,
    InFlightQuery,
    Message,
)

SCALARS: dict[Any, st.SearchStrategy[Any]] = {
    bool: st.booleans(),
    bytes: st.binary(max_size=40),
    float: st.floats(allow_nan=False, allow_infinity=False),
    int: st.integers(-(2**63), 2**64 - 1),
    str: st.text(max_size=12),
}


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    args = get_args(hint)
    if not args:
        return SCALARS[hint]
    if args[-1] is Ellipsis:
        return st.lists(values_of(args[0]), max_size=4).map(tuple)
    return st.tuples(*map(values_of, args))


def messages_of(kind: type[Message]) -> st.SearchStrategy[Message]:
    hints = get_type_hints(kind)
    return st.builds(
        kind,
        **{part.name: values_of(hints[part.name]) for part in fields(kind)},
    )


MESSAGES = st.one_of(*map(messages_of, codec.CODES.values()))
WORDS = st.recursive(
    st.none() | st.one_of(*SCALARS.values()) | st.just(float('nan')),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


def feed(*chunks: bytes) -> list[object]:
    decoder = codec.Decoder()
    return [part for chunk in chunks for part in decoder.feed(chunk)]


def test_every_message_class_has_a_code() -> None:
    assert set(codec.CODES.values()) == set(get_args(Message))


@given(st.lists(MESSAGES, max_size=4), st.integers(1, 30))
def test_messages_survive_any_cut_of_the_stream(
    sent: list[Message],
    size: int,
) -> None:
    wire = b''.join(map(codec.encode, sent))
    chunks = [wire[at : at + size] for at in range(0, len(wire), size)]
    assert feed(*chunks) == sent


@given(MESSAGES)
def test_a_message_that_is_carried_by_another_reads_the_same(
    sent: Message,
) -> None:
    assert codec.decode(codec.encode(sent)) == sent


@given(st.binary(max_size=200))
def test_carried_bytes_that_are_no_message_raise_nothing(
    rubbish: bytes,
) -> None:
    codec.decode(rubbish)
    codec.decode(codec.encode(Heartbeat(1, False, 2, 3)) + rubbish)


@given(st.sampled_from(sorted(codec.CODES)), st.lists(WORDS, max_size=6))
def test_a_frame_is_read_only_in_its_exact_shape(
    code: int,
    words: list[Any],
) -> None:
    (part,) = feed(msgpack.packb([code, *words]))
    if isinstance(part, codec.BadFrame):
        return
    again = codec.encode(part)  # type: ignore[arg-type]
    assert msgpack.unpackb(again) == [code, *words]


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_nothing(rubbish: bytes) -> None:
    parts = feed(rubbish)
    bad = [isinstance(part, codec.BadFrame) for part in parts]
    assert not any(bad[:-1])


def test_unknown_codes_are_skipped() -> None:
    heartbeat = Heartbeat(1, False, 2, 3)
    newer = msgpack.packb([9999, 'from', ['a', 'newer', 'version']])
    parts = feed(newer + codec.encode(heartbeat))
    assert parts == [codec.Skipped(9999), heartbeat]


HUGE_ARRAY = b'\xdd\x7f\xff\xff\xff'
NESTED = b'\xdc\x3f\xff' * 2000
NAN_COUNT = msgpack.packb([10, 'pool', 'h', [['a', float('nan'), 0.0]], []])


@pytest.mark.parametrize(
    'frame',
    [HUGE_ARRAY, NESTED, NAN_COUNT, b'\x81\x01\x02', b'\xc1', b'\x90'],
)
def test_hostile_frames_are_refused(frame: bytes) -> None:
    assert isinstance(feed(frame)[-1], codec.BadFrame)
    assert isinstance(codec.decode(frame), codec.BadFrame)


def test_an_endless_frame_is_cut_off() -> None:
    start = b'\xdc\x3f\xff'
    text = msgpack.packb('x' * 65_000)
    parts = feed(start, *[text] * 40)
    assert isinstance(parts[0], codec.BadFrame)


def test_senders_learn_of_frames_that_no_peer_accepts() -> None:
    rows = tuple((str(row), 1.0, 0.0) for row in range(codec.MAX_ROWS + 1))
    with pytest.raises(ValueError, match='too long'):
        codec.encode(SiteCounts('pool', 'h', rows, ()))
    with pytest.raises(ValueError, match='too long'):
        codec.encode(InFlightQuery('x' * 3_000_000, 0))


def test_a_stream_of_short_frames_takes_little_memory() -> None:
    """A host keeps a decoder for each of some hundred peers."""
    frame = codec.encode(Heartbeat(1, False, 2, 3))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    decoders = [codec.Decoder() for _ in range(20)]
    for decoder in decoders:
        for _ in range(200):
            assert len(list(decoder.feed(frame * 10))) == 10
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert (after - before) / len(decoders) < 65_536


def test_messages_that_others_carry_leave_no_memory_behind() -> None:
    """A host takes dozens a second, and collects its garbage rarely."""
    frame = codec.encode(Heartbeat(1, False, 2, 3))
    gc.disable()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(200):
        codec.decode(frame)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gc.enable()
    assert after - before < 65_536
