"""Endpoints that take a limited rate of requests from all routers together."""

import random
from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support_serving_jobs import Clock

from sesamespoke.serving.endpoint_rate_limiter import EndpointRateLimiter

COLD_RATE = 8.9
COLD_BOUND = COLD_RATE * 1.5 + 5
WINDOW_SECONDS = 4
OVERAGE = 1.5
SLACK_REQUESTS = 5
STEP_SECONDS = 0.1
PASS_SECONDS = 0.04
MIN_USE = 0.8


def _is_drawn(rng: random.Random, share: float) -> bool:
    return rng.random() < share


class Routers:
    """The limiters of a fleet, and when they sent to one endpoint."""

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        hosts = frozenset(f'host-{number}' for number in range(count))
        self.limiters = {
            host: EndpointRateLimiter(host, self.clock, lambda: hosts)
            for host in sorted(hosts)
        }
        self.sent: list[float] = []

    def step(
        self, rate: float, seconds: float, asks: Callable[[], bool]
    ) -> None:
        """Let each router that has a request send all that it may."""
        self.clock.now += seconds
        for limiter in self.limiters.values():
            while asks() and limiter.may_send('e', rate):
                limiter.note_sent('e', rate)
                self.sent.append(self.clock.now)

    def sent_within(self, seconds: float) -> int:
        return sum(at > self.clock.now - seconds for at in self.sent)


@pytest.mark.parametrize('count', [1, 9, 60, 300])
@given(st.lists(st.floats(0, 0.3), min_size=1, max_size=60))
def test_all_routers_together_stay_within_the_cold_rate(
    count: int,
    pauses: list[float],
) -> None:
    """With 60 routers that each sent a first request at once, 22 requests
    arrived at a cold endpoint in a second.
    """
    routers = Routers(count)
    for pause in pauses:
        routers.step(COLD_RATE, pause, lambda: True)
        assert routers.sent_within(1) <= COLD_BOUND


@pytest.mark.parametrize('count', [2, 9, 60, 195])
@pytest.mark.parametrize('rate', [0, 0.1, 0.5, 2.2, 5.1, 30])
@pytest.mark.parametrize('seed', range(4))
def test_routers_that_were_idle_together_stay_within_a_named_limit(
    count: int, rate: float, seed: int
) -> None:
    routers = Routers(count)
    rng = random.Random(seed)
    allowed = OVERAGE * rate * WINDOW_SECONDS + SLACK_REQUESTS
    for step in range(800):
        is_busy = step // 100 % 2 == 0
        share = rng.choice((0.1, 0.5, 1.0)) if is_busy else 0.0
        routers.step(rate, STEP_SECONDS, partial(_is_drawn, rng, share))
        assert routers.sent_within(WINDOW_SECONDS) <= allowed


@pytest.mark.parametrize('count', [2, 9, 60, 195])
@pytest.mark.parametrize('rate', [0.5, 2.2, 5.1, 30])
def test_busy_routers_use_a_named_limit(count: int, rate: float) -> None:
    routers = Routers(count)
    seconds = 60
    for _ in range(round(seconds / PASS_SECONDS)):
        routers.step(rate, PASS_SECONDS, lambda: True)
    assert len(routers.sent) >= MIN_USE * rate * seconds


@pytest.mark.parametrize('rate', [0.5, 2.2, 5.1, COLD_RATE])
def test_routers_that_know_different_hosts_stay_within_a_named_limit(
    rate: float,
) -> None:
    routers = Routers(9)
    rng = random.Random(rate)
    hosts = sorted(routers.limiters)
    known = {host: frozenset(hosts) for host in hosts}
    for each, limiter in routers.limiters.items():
        limiter._hosts = partial(known.get, each)
    allowed = OVERAGE * rate * WINDOW_SECONDS + SLACK_REQUESTS
    for step in range(600):
        if step % 50 == 0:
            # A host that has just started has missed one of the others.
            host, missed = rng.sample(hosts, 2)
            known[host] = frozenset(hosts) - {missed}
        if step % 50 == 10:
            known.update(dict.fromkeys(hosts, frozenset(hosts)))
        routers.step(rate, STEP_SECONDS, lambda: True)
        assert routers.sent_within(WINDOW_SECONDS) <= allowed


def test_no_request_is_sent_while_the_hosts_are_unknown() -> None:
    """Each of nine routers that had just started used the whole cold rate."""
    limiter = EndpointRateLimiter('h', Clock(), lambda: None)
    assert not limiter.may_send('e', COLD_RATE)
