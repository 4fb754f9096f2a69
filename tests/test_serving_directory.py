"""Which endpoints get new work when the platform's list changes or fails."""

from dataclasses import replace

from support_serving_jobs import ENGINE, Clock, endpoints_of

from sesamespoke.serving.directory import (
    RELIST_GRACE_SECONDS,
    Directory,
    Listing,
)

FIRST, SECOND = endpoints_of(ENGINE, 2)


def make_directory(clock: Clock) -> Directory:
    directory = Directory(clock)
    directory.replace(Listing(1, (FIRST, SECOND)))
    return directory


def test_a_leaving_endpoint_gets_no_new_work() -> None:
    directory = make_directory(Clock())
    directory.replace(Listing(1, (replace(FIRST, leaving=True), SECOND)))
    assert directory.usable('llm') == (SECOND,)
    assert not directory.is_usable(FIRST)


def test_an_endpoint_missing_from_a_list_is_removed_at_once() -> None:
    directory = make_directory(Clock())
    directory.replace(Listing(1, (SECOND,)))
    assert directory.usable('llm') == (SECOND,)


def test_the_last_list_stays_in_use_during_an_outage() -> None:
    clock = Clock()
    directory = make_directory(clock)
    clock.now += 60
    directory.note_outage()
    assert directory.usable('llm') == (FIRST, SECOND)


def test_a_missing_endpoint_gets_a_grace_period_after_an_outage() -> None:
    clock = Clock()
    directory = make_directory(clock)
    directory.note_outage()
    directory.replace(Listing(1, (SECOND,)))
    assert set(directory.usable('llm')) == {FIRST, SECOND}
    clock.now += RELIST_GRACE_SECONDS
    directory.replace(Listing(1, (SECOND,)))
    assert directory.usable('llm') == (SECOND,)


def test_a_missing_endpoint_is_removed_when_its_address_is_reused() -> None:
    directory = make_directory(Clock())
    directory.note_outage()
    other = replace(SECOND, name='new', address=FIRST.address)
    directory.replace(Listing(1, (other,)))
    assert FIRST not in directory.usable('llm')


def test_a_data_centre_out_of_service_gets_no_work_until_it_is_back() -> None:
    directory = make_directory(Clock())
    directory.set_evacuated(frozenset(('north',)))
    assert directory.usable('llm') == ()
    directory.set_evacuated(frozenset())
    assert directory.usable('llm') == (FIRST, SECOND)


def test_a_restarted_endpoint_is_a_new_incarnation() -> None:
    directory = make_directory(Clock())
    directory.replace(Listing(1, (replace(FIRST, born=2), SECOND)))
    assert not directory.is_usable(FIRST)


def test_an_older_list_that_arrives_late_is_ignored() -> None:
    clock = Clock()
    directory = make_directory(clock)
    requested_at = clock.now
    clock.now += 0.5
    directory.replace(Listing(3, (SECOND,)))
    directory.replace(Listing(2, (FIRST, SECOND)), requested_at)
    assert directory.usable('llm') == (SECOND,)


def test_a_list_read_after_the_revision_went_back_is_accepted() -> None:
    clock = Clock()
    directory = make_directory(clock)
    directory.replace(Listing(7, (SECOND,)))
    clock.now += 0.5
    directory.replace(Listing(2, (FIRST, SECOND)), clock.now)
    assert directory.usable('llm') == (FIRST, SECOND)
    assert directory.revision == 2
