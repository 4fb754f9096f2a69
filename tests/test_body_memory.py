"""Which request bodies give their memory back, without a network."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support_serving_jobs import Clock

from sesamespoke.body_memory import (
    LOW_MARK,
    MIN_BODIES,
    SLOW_SECONDS,
    SMALL_BYTES,
    STALLED_SECONDS,
    BodyMemory,
)

LIMIT = 1_000_000
MAX_SIZE = 200_000


class Reader:
    def __init__(self) -> None:
        self.gave_up = False

    def give_up(self) -> None:
        self.gave_up = True


def arrive(memory: BodyMemory, *sizes: int) -> list[Reader]:
    readers = [Reader() for _ in sizes]
    for reader, size in zip(readers, sizes, strict=True):
        memory.begin(reader)
        memory.grow(reader, size, MAX_SIZE)
    return readers


def test_stalled_bodies_give_up_before_those_that_arrive() -> None:
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    stalled = arrive(memory, *[MAX_SIZE // 2] * 9)
    clock.now += STALLED_SECONDS * 2
    fresh = arrive(memory, MAX_SIZE, 1000)
    assert not any(reader.gave_up for reader in fresh)
    assert any(reader.gave_up for reader in stalled)
    assert memory.held <= LIMIT * LOW_MARK + 1000


def test_idle_connection_keeps_bodies_from_being_refused() -> None:
    """An idle caller came first among those that give up, and ended the pass."""
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    idle = Reader()
    memory.begin(idle)
    clock.now += STALLED_SECONDS * 2
    bodies = arrive(memory, *[MAX_SIZE] * 20)
    assert any(reader.gave_up for reader in bodies)
    assert memory.held <= LIMIT
    assert not idle.gave_up


def test_small_body_is_kept_among_large_ones() -> None:
    memory = BodyMemory(LIMIT, Clock())
    (small,) = arrive(memory, 1000)
    large = arrive(memory, *[MAX_SIZE] * 8)
    assert not small.gave_up
    assert any(reader.gave_up for reader in large)


def test_large_bodies_in_work_leave_room_for_small_ones() -> None:
    memory = BodyMemory(LIMIT, Clock())
    served = [
        memory.serve(reader, MAX_SIZE)
        for _ in range(9)
        for reader in arrive(memory, MAX_SIZE)
    ]
    assert 0 < sum(served) < len(served)
    (small,) = arrive(memory, SMALL_BYTES)
    assert memory.serve(small, MAX_SIZE)
    memory.release(MAX_SIZE)
    memory.release(MAX_SIZE)
    (large,) = arrive(memory, MAX_SIZE)
    assert memory.serve(large, MAX_SIZE)


def test_single_body_is_served_whatever_the_limit() -> None:
    memory = BodyMemory(1, Clock())
    (reader,) = arrive(memory, MAX_SIZE)
    assert memory.serve(reader, MAX_SIZE)
    assert not reader.gave_up


@pytest.mark.parametrize('waited', [0, STALLED_SECONDS * 2])
def test_only_a_stalled_connection_makes_room(waited: float) -> None:
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    readers = arrive(memory, 0, 5)
    clock.now += waited
    memory.grow(readers[1], 5, MAX_SIZE)
    assert memory.drop_stalled() is bool(waited)
    assert [reader.gave_up for reader in readers] == [bool(waited), False]


def test_only_bodies_that_arrive_for_long_are_refused_by_a_late_host() -> None:
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    slow, idle, fresh = Reader(), Reader(), Reader()
    memory.begin(idle)
    memory.begin_body(slow)
    clock.now += SLOW_SECONDS * 1.5
    memory.grow(slow, 2, MAX_SIZE)
    memory.begin_body(fresh)
    memory.drop_slow()
    assert [reader.gave_up for reader in (slow, idle, fresh)] == [
        True,
        False,
        False,
    ]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['arrive', 'serve', 'release', 'forget', 'wait']),
        st.integers(1, MAX_SIZE),
    ),
    max_size=60,
)


@given(STEPS)
def test_bodies_never_hold_more_than_the_limit(
    steps: list[tuple[str, int]],
) -> None:
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    arriving: list[tuple[Reader, int]] = []
    served: list[int] = []
    for kind, size in steps:
        arriving = [row for row in arriving if not row[0].gave_up]
        if kind == 'arrive':
            (reader,) = arrive(memory, size)
            arriving.append((reader, size))
        elif kind == 'serve' and arriving:
            reader, size = arriving.pop()
            if not reader.gave_up and memory.serve(reader, MAX_SIZE):
                served.append(size)
        elif kind == 'release' and served:
            memory.release(served.pop())
        elif kind == 'forget' and arriving:
            memory.forget(arriving.pop()[0])
        else:
            clock.now += size / MAX_SIZE
        kept = sum(size for reader, size in arriving if not reader.gave_up)
        assert memory.held == kept + sum(served)
        assert memory.held <= max(LIMIT, MIN_BODIES * MAX_SIZE)


STEP_KINDS = ('begin', 'head', *['grow'] * 6, 'serve', 'release', 'wait')


@pytest.mark.parametrize('seed', range(50))
def test_pass_ends_above_its_mark_while_a_body_may_yield(seed: int) -> None:
    rng = random.Random(seed)
    clock = Clock()
    memory = BodyMemory(LIMIT, clock)
    readers = [Reader() for _ in range(12)]
    sizes = dict.fromkeys(readers, 0)
    for reader in readers:
        memory.begin(reader)
    served: list[int] = []
    passes = 0
    for _ in range(300):
        kind = rng.choice(STEP_KINDS)
        reader = rng.choice(readers)
        size = rng.randint(1, MAX_SIZE)
        if kind in {'begin', 'head'}:
            memory.forget(reader)
            reader.gave_up = False
            sizes[reader] = 0
            begin = memory.begin if kind == 'begin' else memory.begin_body
            begin(reader)
        elif kind == 'grow' and reader in sizes:
            is_full = memory.held + size > LIMIT
            passes += is_full
            sizes[reader] += size
            memory.grow(reader, size, MAX_SIZE)
            sizes = {
                each: kept for each, kept in sizes.items() if not each.gave_up
            }
            if is_full and any(sizes.values()):
                assert memory.held <= LIMIT * LOW_MARK
        elif kind == 'serve' and reader in sizes:
            kept = sizes.pop(reader)
            if memory.serve(reader, MAX_SIZE):
                served.append(kept)
        elif kind == 'release' and served:
            memory.release(served.pop())
        elif kind == 'wait':
            clock.now += rng.random() * 2
        assert memory.held == sum(sizes.values()) + sum(served) <= LIMIT
    assert passes
