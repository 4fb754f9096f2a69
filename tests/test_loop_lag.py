"""A host that can't keep up says so, and only then."""

from sesamespoke.serving.loop_lag import (
    HIGH_DELAY_SAMPLES,
    HIGH_DELAY_SECONDS,
    LOW_DELAY_SAMPLES,
    LoopLagMonitor,
)


class Lines:
    """Keeps what is logged."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def __call__(self, event: str, /, **facts: object) -> None:
        self.told.append(event)


def opened() -> tuple[LoopLagMonitor, Lines]:
    lines = Lines()
    return LoopLagMonitor(lines, lambda: 3), lines


def test_a_host_that_goes_on_running_late_is_overloaded_until_calm() -> None:
    pressure, lines = opened()
    for _ in range(HIGH_DELAY_SAMPLES):
        assert not pressure.is_overloaded
        pressure.record_delay(HIGH_DELAY_SECONDS * 2)
    assert pressure.is_overloaded
    assert pressure.lag > HIGH_DELAY_SECONDS
    for _ in range(LOW_DELAY_SAMPLES):
        assert pressure.is_overloaded
        pressure.record_delay(0)
    assert not pressure.is_overloaded
    assert lines.told == ['host_overloaded', 'host_caught_up']


def test_one_pause_of_the_host_is_no_overload() -> None:
    pressure, lines = opened()
    for _ in range(10):
        pressure.record_delay(5)
        for _ in range(3):
            pressure.record_delay(0.001)
    assert not pressure.is_overloaded
    assert not lines.told


def test_a_host_that_is_late_now_and_then_has_not_caught_up() -> None:
    pressure, _ = opened()
    for _ in range(HIGH_DELAY_SAMPLES):
        pressure.record_delay(HIGH_DELAY_SECONDS)
    for _ in range(5):
        for _ in range(LOW_DELAY_SAMPLES - 1):
            pressure.record_delay(0)
        pressure.record_delay(HIGH_DELAY_SECONDS)
    assert pressure.is_overloaded
