"""A host reports overload when its event loop lags, and only then."""

from sesamespoke.serving.loop_lag import (
    HIGH_DELAY_SAMPLES,
    HIGH_DELAY_SECONDS,
    LOW_DELAY_SAMPLES,
    LoopLagMonitor,
)


class RecordingLog:
    """Records the names of logged events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def __call__(self, event: str, /, **facts: object) -> None:
        self.events.append(event)


def create_monitor() -> tuple[LoopLagMonitor, RecordingLog]:
    log = RecordingLog()
    return LoopLagMonitor(log, lambda: 3), log


def test_sustained_lag_means_overload_until_the_lag_stays_low() -> None:
    monitor, log = create_monitor()
    for _ in range(HIGH_DELAY_SAMPLES):
        assert not monitor.is_overloaded
        monitor.record_delay(HIGH_DELAY_SECONDS * 2)
    assert monitor.is_overloaded
    assert monitor.lag > HIGH_DELAY_SECONDS
    for _ in range(LOW_DELAY_SAMPLES):
        assert monitor.is_overloaded
        monitor.record_delay(0)
    assert not monitor.is_overloaded
    assert log.events == ['host_overloaded', 'host_caught_up']


def test_isolated_pauses_are_not_overload() -> None:
    monitor, log = create_monitor()
    for _ in range(10):
        monitor.record_delay(5)
        for _ in range(3):
            monitor.record_delay(0.001)
    assert not monitor.is_overloaded
    assert not log.events


def test_host_with_repeated_high_delays_stays_overloaded() -> None:
    monitor, _ = create_monitor()
    for _ in range(HIGH_DELAY_SAMPLES):
        monitor.record_delay(HIGH_DELAY_SECONDS)
    for _ in range(5):
        for _ in range(LOW_DELAY_SAMPLES - 1):
            monitor.record_delay(0)
        monitor.record_delay(HIGH_DELAY_SECONDS)
    assert monitor.is_overloaded
