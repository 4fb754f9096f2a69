"""Which requests are quarantined after crashes, and how they are released."""

from itertools import pairwise

from support_serving_jobs import Clock

from sesamespoke.crash_evidence import RACE_SECONDS
from sesamespoke.request_evidence import (
    BREAKS_OF_ANSWERED_REQUEST,
    BREAKS_OF_NEW_REQUEST,
    EXPIRY_SECONDS,
    MAX_BREAKS,
    MAX_REQUESTS,
    QUICK_TRIAL_SECONDS,
    QUICK_TRIALS,
    TRIAL_SECONDS,
    Break,
    RequestEvidence,
)

DIGEST = b'digest'
PREFILL_SECONDS = 0.3


class Scenario:
    """Breaks in sequence; time passes before each of them."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.evidence = RequestEvidence(self.clock)

    def fail(self, digest: bytes = DIGEST, *, in_flight: int = 1) -> bool:
        """Send repeats of a request to an endpoint, which crashes."""
        sent_at = self.clock.now
        self.clock.now += PREFILL_SECONDS
        found = [
            self.evidence.add_break(
                digest, Break(sent_at, self.clock.now + number / 1000)
            )
            for number in range(in_flight)
        ]
        self.clock.now += 1
        return any(found)

    def quarantine(self) -> None:
        for _ in range(BREAKS_OF_NEW_REQUEST):
            self.fail()

    def fail_trial(self) -> float:
        """Wait for the next trial, which fails; return the wait."""
        began_at = self.clock.now
        self.clock.now += self.evidence.seconds_blocked(DIGEST)
        while self.evidence.seconds_blocked(DIGEST):
            self.clock.now += self.evidence.seconds_blocked(DIGEST)
        waited = self.clock.now - began_at
        assert self.evidence.begin_trial(DIGEST)
        self.fail()
        return waited


def test_requests_in_flight_at_one_crash_count_once() -> None:
    scenario = Scenario()
    assert not scenario.fail(in_flight=20)
    assert not scenario.evidence.quarantined()


def test_request_that_breaks_again_and_again_is_quarantined() -> None:
    scenario = Scenario()
    found = [scenario.fail() for _ in range(BREAKS_OF_NEW_REQUEST + 1)]
    assert found.index(True) == BREAKS_OF_NEW_REQUEST - 1
    assert found.count(True) == 1
    assert scenario.evidence.quarantined() == (DIGEST,)


def test_many_repeats_in_flight_do_not_hide_that_a_request_breaks_again() -> (
    None
):
    scenario = Scenario()
    for _ in range(BREAKS_OF_NEW_REQUEST):
        scenario.fail(in_flight=3 * MAX_BREAKS)
    assert scenario.evidence.quarantined() == (DIGEST,)
    assert len(scenario.evidence.breaks(DIGEST)) <= MAX_BREAKS


def test_request_that_was_answered_before_needs_more_breaks() -> None:
    scenario = Scenario()
    scenario.evidence.note_answered(DIGEST)
    found = [scenario.fail() for _ in range(BREAKS_OF_ANSWERED_REQUEST)]
    assert found.index(True) == BREAKS_OF_ANSWERED_REQUEST - 1


def test_quarantined_request_is_tried_at_once_and_released_by_an_answer() -> (
    None
):
    scenario = Scenario()
    scenario.quarantine()
    assert not scenario.evidence.seconds_blocked(DIGEST)
    assert scenario.evidence.begin_trial(DIGEST)
    assert scenario.evidence.seconds_blocked(DIGEST)
    assert scenario.evidence.clear(DIGEST, scenario.clock.now)
    assert not scenario.evidence.seconds_blocked(DIGEST)
    assert not scenario.fail()


def test_failed_trials_grow_rarer() -> None:
    scenario = Scenario()
    scenario.quarantine()
    waits = [scenario.fail_trial() for _ in range(6)]
    assert waits[0] == 0
    assert waits[1] <= QUICK_TRIAL_SECONDS
    assert waits[QUICK_TRIALS] > TRIAL_SECONDS / 2
    assert all(later > earlier for earlier, later in pairwise(waits))


def test_request_that_was_answered_before_is_soon_tried_again() -> None:
    scenario = Scenario()
    scenario.evidence.note_answered(DIGEST)
    for _ in range(BREAKS_OF_ANSWERED_REQUEST):
        scenario.fail()
    waits = [scenario.fail_trial() for _ in range(4)]
    assert waits[-1] <= 8 * QUICK_TRIAL_SECONDS


def test_trials_of_several_hosts_at_once_count_as_one() -> None:
    scenario = Scenario()
    scenario.quarantine()
    for _ in range(3):
        scenario.evidence.begin_trial(DIGEST)
        scenario.clock.now += RACE_SECONDS / 4
    scenario.fail()
    assert scenario.evidence.seconds_blocked(DIGEST) <= QUICK_TRIAL_SECONDS


def test_trial_without_a_result_does_not_delay_the_next_one() -> None:
    scenario = Scenario()
    scenario.quarantine()
    scenario.evidence.begin_trial(DIGEST)
    scenario.evidence.end_trial(DIGEST)
    assert not scenario.evidence.seconds_blocked(DIGEST)


def test_answer_that_began_before_a_break_does_not_clear_it() -> None:
    scenario = Scenario()
    begun_at = scenario.clock.now
    scenario.quarantine()
    assert not scenario.evidence.clear(DIGEST, begun_at)
    assert scenario.evidence.quarantined()


def test_late_report_of_a_break_does_not_bring_back_a_cleared_request() -> None:
    scenario = Scenario()
    scenario.quarantine()
    breaks = scenario.evidence.breaks(DIGEST)
    scenario.evidence.clear(DIGEST, scenario.clock.now)
    for each in breaks:
        assert not scenario.evidence.add_break(DIGEST, each)
    assert not scenario.evidence.is_suspected(DIGEST)


def test_recorded_request_is_not_tried_by_each_router_that_starts() -> None:
    scenario = Scenario()
    scenario.evidence.restore(DIGEST)
    assert scenario.evidence.seconds_blocked(DIGEST) >= TRIAL_SECONDS
    assert scenario.evidence.clear(DIGEST, scenario.clock.now)
    assert not scenario.evidence.quarantined()


def test_quarantine_ends_when_the_request_breaks_no_more() -> None:
    scenario = Scenario()
    scenario.quarantine()
    scenario.clock.now += EXPIRY_SECONDS + 1
    assert not scenario.evidence.quarantined()


def test_evidence_is_bounded_and_keeps_what_is_quarantined() -> None:
    scenario = Scenario()
    scenario.quarantine()
    now = scenario.clock.now
    for number in range(2 * MAX_REQUESTS):
        scenario.evidence.add_break(b'%d' % number, Break(now - 1, now))
    assert scenario.evidence.is_quarantined(DIGEST)
    assert len(scenario.evidence._records) <= MAX_REQUESTS
