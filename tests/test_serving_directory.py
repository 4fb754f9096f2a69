"""Which endpoints get new work as the platform's list changes or fails."""

from dataclasses import replace

from support_serving_jobs import ENGINE, Clock, endpoints_of

from sesamespoke.serving.directory import (
    RELIST_GRACE_SECONDS,
    Directory,
    Listing,
)

FIRST, SECOND = endpoints_of(ENGINE, 2)


def opened(clock: Clock) -> Directory:
    directory = Directory(clock)
    directory.replace(Listing(1, (FIRST, SECOND)))
    return directory


def test_a_leaving_endpoint_gets_no_new_work() -> None:
    directory = opened(Clock())
    directory.replace(Listing(1, (replace(FIRST, leaving=True), SECOND)))
    assert directory.usable('llm') == (SECOND,)
    assert not directory.is_usable(FIRST)


def test_an_endpoint_that_is_no_longer_listed_is_gone_at_once() -> None:
    directory = opened(Clock())
    directory.replace(Listing(1, (SECOND,)))
    assert directory.usable('llm') == (SECOND,)


def test_the_list_stands_while_the_platform_is_away() -> None:
    clock = Clock()
    directory = opened(clock)
    clock.now += 60
    directory.note_outage()
    assert directory.usable('llm') == (FIRST, SECOND)


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back() -> None:
    clock = Clock()
    directory = opened(clock)
    directory.note_outage()
    directory.replace(Listing(1, (SECOND,)))
    assert set(directory.usable('llm')) == {FIRST, SECOND}
    clock.now += RELIST_GRACE_SECONDS
    directory.replace(Listing(1, (SECOND,)))
    assert directory.usable('llm') == (SECOND,)


def test_a_lapsed_entry_does_not_outlive_the_use_of_its_address() -> None:
    directory = opened(Clock())
    directory.note_outage()
    other = replace(SECOND, name='new', address=FIRST.address)
    directory.replace(Listing(1, (other,)))
    assert FIRST not in directory.usable('llm')


def test_a_data_centre_out_of_service_gets_no_work_until_it_is_back() -> None:
    directory = opened(Clock())
    directory.set_evacuated(frozenset(('north',)))
    assert directory.usable('llm') == ()
    directory.set_evacuated(frozenset())
    assert directory.usable('llm') == (FIRST, SECOND)


def test_an_endpoint_that_started_anew_is_another() -> None:
    directory = opened(Clock())
    directory.replace(Listing(1, (replace(FIRST, born=2), SECOND)))
    assert not directory.is_usable(FIRST)


def test_a_list_from_before_a_later_one_is_left_out() -> None:
    clock = Clock()
    directory = opened(clock)
    asked_at = clock.now
    clock.now += 0.5
    directory.replace(Listing(3, (SECOND,)))
    directory.replace(Listing(2, (FIRST, SECOND)), asked_at)
    assert directory.usable('llm') == (SECOND,)


def test_a_store_that_went_back_is_believed_when_it_is_asked_again() -> None:
    clock = Clock()
    directory = opened(clock)
    directory.replace(Listing(7, (SECOND,)))
    clock.now += 0.5
    directory.replace(Listing(2, (FIRST, SECOND)), clock.now)
    assert directory.usable('llm') == (FIRST, SECOND)
    assert directory.revision == 2
