"""A host that can't keep up says so, and only then."""

from sesamespoke.serving.loop_lag import (
    CALM_TICKS,
    LATE_SECONDS,
    LATE_TICKS,
    LoopPressure,
)


class Lines:
    """Keeps what is logged."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def __call__(self, event: str, /, **facts: object) -> None:
        self.told.append(event)


def opened() -> tuple[LoopPressure, Lines]:
    lines = Lines()
    return LoopPressure(lines, lambda: 3), lines


def test_a_host_that_goes_on_running_late_is_overloaded_until_calm() -> None:
    pressure, lines = opened()
    for _ in range(LATE_TICKS):
        assert not pressure.is_late
        pressure.note(LATE_SECONDS * 2)
    assert pressure.is_late
    assert pressure.lag > LATE_SECONDS
    for _ in range(CALM_TICKS):
        assert pressure.is_late
        pressure.note(0)
    assert not pressure.is_late
    assert lines.told == ['host_overloaded', 'host_caught_up']


def test_one_pause_of_the_host_is_no_overload() -> None:
    pressure, lines = opened()
    for _ in range(10):
        pressure.note(5)
        for _ in range(3):
            pressure.note(0.001)
    assert not pressure.is_late
    assert not lines.told


def test_a_host_that_is_late_now_and_then_has_not_caught_up() -> None:
    pressure, _ = opened()
    for _ in range(LATE_TICKS):
        pressure.note(LATE_SECONDS)
    for _ in range(5):
        for _ in range(CALM_TICKS - 1):
            pressure.note(0)
        pressure.note(LATE_SECONDS)
    assert pressure.is_late
