"""What a router learns of endpoints from how its requests fare."""

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
NOBODY: frozenset[str] = frozenset()
ROUTERS = 9


def done(first_token_ms: int) -> Attempt:
    return Attempt(Verdict.RAN, Outcome.DONE, first_token_ms=first_token_ms)


def test_an_endpoint_that_breaks_is_left_alone_ever_longer() -> None:
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


def test_many_requests_that_break_at_once_are_one_failure() -> None:
    health = Health(Clock())
    assert health.record_attempt('e', BROKEN, 100)
    assert not health.record_attempt('e', BROKEN, 100)


def test_a_full_endpoint_is_asked_again_soon() -> None:
    clock = Clock()
    health = Health(clock)
    health.record_attempt('e', REFUSED, 100)
    assert health.is_paused('e')
    clock.now += REFUSED_PAUSE
    assert not health.is_paused('e')


def test_pace_follows_what_was_seen_and_bad_records_fade() -> None:
    clock = Clock()
    health = Health(clock)
    for _ in range(30):
        health.record_attempt('slow', done(400), 100)
        health.record_attempt('grey', FAILED, 100)
    assert 3 < health.slowdown('slow') < 5
    assert 2 < health.slowdown('grey') <= MAX_SLOWDOWN
    clock.now += RECOVERY_SECONDS + 1
    assert health.slowdown('slow') == 1


def opened(clock: Clock) -> tuple[Chooser, Directory]:
    directory = Directory(clock)
    services = {each.name: each for each in (ENGINE, PLAIN)}
    catalog = Catalog(1, {}, services)
    chooser = Chooser('h', lambda: catalog, directory, clock, lambda: ROUTERS)
    directory.replace(Listing(1, endpoints_of(ENGINE, 4)))
    return chooser, directory


def home_of(chooser: Chooser) -> str:
    reservation = chooser.reserve(job_of('a'), 1, NOBODY)
    assert reservation is not None
    chooser.release(reservation)
    return reservation.endpoint.name


def test_while_a_home_is_left_alone_the_next_one_stands_in() -> None:
    clock = Clock()
    chooser, _ = opened(clock)
    home = home_of(chooser)
    chooser.health.record_attempt(home, BROKEN, 100)
    second = home_of(chooser)
    assert second != home
    assert home_of(chooser) == second
    clock.now += FIRST_PAUSE
    assert home_of(chooser) == home


def test_the_keeper_of_a_beginning_is_one_that_has_been_there() -> None:
    clock = Clock()
    chooser, directory = opened(clock)
    first = chooser.reserve(job_of('a'), 1, NOBODY)
    assert first is not None
    assert first.placement.prefix_holder is None
    clock.now += MIN_HOLDER_SECONDS
    home = first.endpoint
    second = chooser.reserve(job_of('a'), 1, frozenset((home.name,)))
    assert second is not None
    assert second.placement.prefix_holder == home
    chooser.release(first)
    chooser.release(second)
    leaving = tuple(
        replace(each, leaving=each.name == home.name)
        for each in directory.endpoints.values()
    )
    directory.replace(Listing(2, leaving))
    moved = chooser.reserve(job_of('a'), 1, NOBODY)
    assert moved is not None
    assert moved.endpoint.name != home.name
    assert moved.placement.prefix_holder is not None
    assert moved.placement.prefix_holder.name == home.name
    chooser.release(moved)
    chooser.health.record_attempt(home.name, BROKEN, 100)
    after = chooser.reserve(job_of('a'), 1, NOBODY)
    assert after is not None
    assert after.placement.prefix_holder is None or (
        after.placement.prefix_holder.name != home.name
    )


def test_endpoints_of_a_returned_data_centre_are_not_flooded() -> None:
    """Each list of before said that they were warm: 21 came in a second."""
    clock = Clock()
    chooser, directory = opened(clock)
    directory.set_evacuated(frozenset(('north',)))
    clock.now += 10
    directory.set_evacuated(frozenset())
    taken = 0
    for _ in range(100):
        reservation = chooser.reserve(job_of('a'), 1, NOBODY)
        if reservation is not None:
            taken += 1
            chooser.release(reservation)
        clock.now += 0.01
    a_turn_each = len(directory.endpoints)
    assert taken <= a_turn_each * (1 + ENGINE.cold_rate / ROUTERS)


def test_where_all_are_left_alone_all_are_tried() -> None:
    chooser, directory = opened(Clock())
    for name in directory.endpoints:
        chooser.health.record_attempt(name, BROKEN, 100)
    assert home_of(chooser) in directory.endpoints


def test_an_endpoint_that_was_tried_is_not_tried_again() -> None:
    chooser, directory = opened(Clock())
    everybody = frozenset(directory.endpoints)
    assert chooser.reserve(job_of('a'), 1, everybody) is None
    left = everybody - {home_of(chooser)}
    reservation = chooser.reserve(job_of('a'), 1, left)
    assert reservation is not None


def test_places_are_counted_until_they_are_given_back() -> None:
    chooser, _ = opened(Clock())
    taken = []
    while (place := chooser.reserve(job_of('a'), 1, NOBODY)) is not None:
        taken.append(place)
        chooser.loads.end_prefill(place.in_flight)
    assert len(taken) >= 16
    for place in taken:
        chooser.release(place)
    assert chooser.loads.rows() == ()
    assert chooser.reserve(job_of('a'), 1, NOBODY) is not None


def test_what_peers_have_in_flight_takes_room_until_they_are_gone() -> None:
    clock = Clock()
    chooser, directory = opened(clock)
    rows = tuple((name, 64, 0) for name in directory.endpoints)
    chooser.loads.accept_report('peer', rows)
    assert chooser.reserve(job_of('a'), 1, NOBODY) is None
    chooser.loads.drop_report('peer')
    assert chooser.reserve(job_of('a'), 1, NOBODY) is not None
    chooser.loads.accept_report('peer', rows)
    clock.now += 4
    assert chooser.reserve(job_of('a'), 1, NOBODY) is not None
