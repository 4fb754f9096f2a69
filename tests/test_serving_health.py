"""Endpoint health from request outcomes, and how the chooser uses it."""

from dataclasses import replace

from support_serving_jobs import ENGINE, PLAIN, Clock, endpoints_of, job_of

from sesamespoke.attempts import Attempt
from sesamespoke.limits import Outcome
from sesamespoke.serving.catalog import Catalog
from sesamespoke.serving.chooser import MIN_HOLDER_SECONDS, Chooser
from sesamespoke.serving.directory import Directory, Listing
from sesamespoke.serving.health import (
    FIRST_PAUSE,
    LONGEST_PAUSE,
    MAX_SLOWDOWN,
    RECOVERY_SECONDS,
    REFUSED_PAUSE,
    Health,
)
from sesamespoke.verdicts import Verdict

BROKEN = Attempt(Verdict.MAY_HAVE_RUN, Outcome.BROKEN)
REFUSED = Attempt(Verdict.NOT_RUN, Outcome.REFUSED)
FAILED = Attempt(Verdict.MAY_HAVE_RUN, Outcome.LATE)
NO_ENDPOINTS: frozenset[str] = frozenset()
ROUTERS = 9
HOSTS = frozenset(('h', *(f'h-{number}' for number in range(1, ROUTERS))))


def done(first_token_ms: int) -> Attempt:
    return Attempt(Verdict.RAN, Outcome.DONE, first_token_ms=first_token_ms)


def test_repeated_failures_pause_an_endpoint_for_longer() -> None:
    clock = Clock()
    health = Health(clock)
    pauses = []
    for _ in range(6):
        assert health.record_attempt('e', BROKEN, 100)
        began = clock.now
        while health.is_paused('e'):
            clock.now += 0.05
        pauses.append(clock.now - began)
    assert abs(pauses[0] - FIRST_PAUSE) < 0.1
    assert pauses == sorted(pauses)
    assert abs(pauses[-1] - LONGEST_PAUSE) < 0.1


def test_requests_that_break_together_count_as_one_failure() -> None:
    health = Health(Clock())
    assert health.record_attempt('e', BROKEN, 100)
    assert not health.record_attempt('e', BROKEN, 100)


def test_a_refusal_pauses_an_endpoint_briefly() -> None:
    clock = Clock()
    health = Health(clock)
    health.record_attempt('e', REFUSED, 100)
    assert health.is_paused('e')
    clock.now += REFUSED_PAUSE
    assert not health.is_paused('e')


def test_slowdown_follows_observations_and_expires() -> None:
    clock = Clock()
    health = Health(clock)
    for _ in range(30):
        health.record_attempt('slow', done(400), 100)
        health.record_attempt('grey', FAILED, 100)
    assert 3 < health.slowdown('slow') < 5
    assert 2 < health.slowdown('grey') <= MAX_SLOWDOWN
    clock.now += RECOVERY_SECONDS + 1
    assert health.slowdown('slow') == 1


def create_chooser(clock: Clock) -> tuple[Chooser, Directory]:
    directory = Directory(clock)
    services = {each.name: each for each in (ENGINE, PLAIN)}
    catalog = Catalog(1, {}, services)
    chooser = Chooser('h', lambda: catalog, directory, clock, lambda: HOSTS)
    directory.replace(Listing(1, endpoints_of(ENGINE, 4)))
    return chooser, directory


def choose(chooser: Chooser) -> str:
    reservation = chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)
    assert reservation is not None
    chooser.release(reservation)
    return reservation.endpoint.name


def test_the_next_endpoint_in_order_replaces_a_paused_preferred_one() -> None:
    clock = Clock()
    chooser, _ = create_chooser(clock)
    preferred = choose(chooser)
    chooser.health.record_attempt(preferred, BROKEN, 100)
    second = choose(chooser)
    assert second != preferred
    assert choose(chooser) == second
    clock.now += FIRST_PAUSE
    assert choose(chooser) == preferred


def test_the_prefix_holder_has_been_listed_long_enough() -> None:
    clock = Clock()
    chooser, directory = create_chooser(clock)
    first = chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)
    assert first is not None
    assert first.placement.prefix_holder is None
    clock.now += MIN_HOLDER_SECONDS
    preferred = first.endpoint
    second = chooser.reserve(job_of('a'), 1, frozenset((preferred.name,)))
    assert second is not None
    assert second.placement.prefix_holder == preferred
    chooser.release(first)
    chooser.release(second)
    leaving = tuple(
        replace(each, leaving=each.name == preferred.name)
        for each in directory.endpoints.values()
    )
    directory.replace(Listing(2, leaving))
    moved = chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)
    assert moved is not None
    assert moved.endpoint.name != preferred.name
    assert moved.placement.prefix_holder is not None
    assert moved.placement.prefix_holder.name == preferred.name
    chooser.release(moved)
    chooser.health.record_attempt(preferred.name, BROKEN, 100)
    after = chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)
    assert after is not None
    assert after.placement.prefix_holder is None or (
        after.placement.prefix_holder.name != preferred.name
    )


def test_endpoints_of_a_returned_data_centre_are_not_overloaded() -> None:
    """Lists from before the return say that the cold endpoints are warm.

    With these lists, 21 requests arrived in a second.
    """
    clock = Clock()
    chooser, directory = create_chooser(clock)
    directory.set_evacuated(frozenset(('north',)))
    clock.now += 10
    directory.set_evacuated(frozenset())
    reserved = 0
    for _ in range(100):
        reservation = chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)
        if reservation is not None:
            reserved += 1
            chooser.release(reservation)
        clock.now += 0.01
    endpoints = len(directory.endpoints)
    assert reserved <= endpoints * (1 + ENGINE.cold_rate / ROUTERS)


def test_paused_endpoints_are_used_if_all_are_paused() -> None:
    chooser, directory = create_chooser(Clock())
    for name in directory.endpoints:
        chooser.health.record_attempt(name, BROKEN, 100)
    assert choose(chooser) in directory.endpoints


def test_an_endpoint_that_was_tried_is_not_chosen_again() -> None:
    chooser, directory = create_chooser(Clock())
    tried = frozenset(directory.endpoints)
    assert chooser.reserve(job_of('a'), 1, tried) is None
    all_but_one = tried - {choose(chooser)}
    reservation = chooser.reserve(job_of('a'), 1, all_but_one)
    assert reservation is not None


def test_reservations_count_as_load_until_they_are_released() -> None:
    chooser, _ = create_chooser(Clock())
    reserved = []
    while (held := chooser.reserve(job_of('a'), 1, NO_ENDPOINTS)) is not None:
        reserved.append(held)
        chooser.loads.end_prefill(held.in_flight)
    assert len(reserved) >= 16
    for held in reserved:
        chooser.release(held)
    assert chooser.loads.rows() == ()
    assert chooser.reserve(job_of('a'), 1, NO_ENDPOINTS) is not None


def test_loads_of_peers_use_capacity_until_dropped_or_stale() -> None:
    clock = Clock()
    chooser, directory = create_chooser(clock)
    rows = tuple((name, 64, 0) for name in directory.endpoints)
    chooser.loads.accept_report('peer', rows)
    assert chooser.reserve(job_of('a'), 1, NO_ENDPOINTS) is None
    chooser.loads.drop_report('peer')
    assert chooser.reserve(job_of('a'), 1, NO_ENDPOINTS) is not None
    chooser.loads.accept_report('peer', rows)
    clock.now += 4
    assert chooser.reserve(job_of('a'), 1, NO_ENDPOINTS) is not None


def test_a_cold_endpoint_of_a_service_without_a_cold_rate_is_not_limited() -> (
    None
):
    clock = Clock()
    directory = Directory(clock)
    catalog = Catalog(1, {}, {PLAIN.name: PLAIN})
    chooser = Chooser('h', lambda: catalog, directory, clock, lambda: HOSTS)
    cold = [
        replace(each, cold_until=clock.now + 9)
        for each in endpoints_of(PLAIN, 1)
    ]
    directory.replace(Listing(1, tuple(cold)))
    job = replace(job_of('a'), service=PLAIN.name)
    for _ in range(3):
        reservation = chooser.reserve(job, 1, NO_ENDPOINTS)
        assert reservation is not None
        chooser.release(reservation)
