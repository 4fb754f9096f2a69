"""How the bytes of an arriving body are kept, without a network."""

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamespoke.body_buffer import PIECE_BYTES, BodyBuffer

SIZE = 400_000


@given(st.lists(st.binary(max_size=300).map(lambda part: part * 40)))
def test_body_comes_back_whole_whatever_its_parts(parts: list[bytes]) -> None:
    body = BodyBuffer()
    for part in parts:
        body.append(part)
    expected = b''.join(parts)
    assert len(body) == len(expected)
    assert body.take() == expected
    assert len(body) == 0
    assert body.take() == b''


def test_cleared_body_keeps_nothing() -> None:
    body = BodyBuffer()
    body.append(bytes(PIECE_BYTES + 1))
    body.append(b'x')
    body.clear()
    assert len(body) == 0
    assert body.take() == b''


@pytest.mark.parametrize('part_bytes', [1, 2, PIECE_BYTES - 1, PIECE_BYTES + 1])
def test_body_in_small_parts_takes_several_times_its_size(
    part_bytes: int,
) -> None:
    body = BodyBuffer()
    tracemalloc.start()
    for _ in range(SIZE // part_bytes):
        body.append(bytes(part_bytes))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(body) <= held <= 1.1 * SIZE
