"""Which parts are quarantined after crashes, and how they are released."""

from collections.abc import Iterable
from itertools import count

from hypothesis import given
from hypothesis import strategies as st
from support_serving_jobs import Clock

from sesamespoke.crash_evidence import (
    CRASHES_OF_ANSWERED_PART,
    CRASHES_OF_NEW_PART,
    EXPIRY_SECONDS,
    JOINT_TRIAL_SECONDS,
    MANY_CRASHES,
    MAX_CRASHES,
    MERGE_SECONDS,
    PROVEN_TRIAL_SECONDS,
    RACE_SECONDS,
    TRIAL_SECONDS,
    BrokenRequest,
    Crash,
    CrashEvidence,
)

PREFILL_SECONDS = 0.3


class Scenario:
    """Crashes in sequence; time passes before each of them."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.evidence = CrashEvidence(self.clock)
        self._numbers = count()

    def crash(
        self,
        *requests: Iterable[str],
        digest: bytes | None = None,
        seconds: float = PREFILL_SECONDS,
    ) -> frozenset[str]:
        """Crash an endpoint that was sent requests with these parts."""
        sent_at = self.clock.now + seconds / 10
        self.clock.now += seconds
        broken = tuple(
            BrokenRequest(digest or b'%d' % number, sent_at, tuple(parts))
            for number, parts in zip(self._numbers, requests, strict=False)
        )
        name = f'e-{next(self._numbers)}'
        return self.evidence.add_crash(Crash(name, self.clock.now, broken))

    def answer(self, *parts: str) -> frozenset[str]:
        self.clock.now += PREFILL_SECONDS
        self.evidence.note_answered(parts)
        return self.evidence.clear(b'other', parts, self.clock.now)

    def blocked(self, *parts: str, is_suspect: bool = False) -> float:
        return self.evidence.seconds_blocked(parts, is_suspect=is_suspect)

    def fail_trial(self, part: str) -> None:
        """Try a part as soon as it may be; its endpoint crashes."""
        self.clock.now += self.blocked(part)
        self.evidence.begin_trial([part])
        self.crash([part], seconds=0)


def test_part_of_different_requests_is_quarantined_at_the_second_crash() -> (
    None
):
    scenario = Scenario()
    assert not scenario.crash(['dead', 'a'], ['b'])
    assert not scenario.blocked('dead')
    assert scenario.crash(['dead', 'c']) == {'dead'}
    scenario.fail_trial('dead')
    assert scenario.blocked('dead', 'c') >= TRIAL_SECONDS
    assert not scenario.blocked('a')


def test_part_is_tried_before_it_is_refused_for_long() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['dead'])
    assert scenario.evidence.is_proven('dead')
    assert not scenario.blocked('dead')
    assert scenario.blocked('dead', is_suspect=True)


def test_trials_of_several_hosts_at_once_count_as_one() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['subject', 'dead'])
    for _ in range(3):
        scenario.evidence.begin_trial(['subject'])
        scenario.clock.now += RACE_SECONDS / 4
    assert scenario.blocked('subject') <= 2 * TRIAL_SECONDS


def test_repeats_of_one_request_do_not_quarantine_its_parts() -> None:
    scenario = Scenario()
    for _ in range(5):
        assert not scenario.crash(['a', 'b'], digest=b'same')


def test_endpoints_that_fail_together_quarantine_no_part() -> None:
    scenario = Scenario()
    for _ in range(8):
        assert not scenario.crash(['system', 'a'], seconds=0)


def test_part_that_is_answered_between_crashes_is_not_quarantined() -> None:
    scenario = Scenario()
    for number in range(8):
        assert not scenario.crash(['system', f'{number}'])
        scenario.answer('system')


def test_answer_that_began_before_a_crash_clears_nothing() -> None:
    scenario = Scenario()
    scenario.crash(['dead'])
    begun_at = scenario.clock.now - 0.1
    scenario.evidence.clear(b'other', ['dead'], begun_at)
    assert scenario.crash(['dead']) == {'dead'}


def test_part_answered_before_needs_more_crashes() -> None:
    scenario = Scenario()
    scenario.answer('common')
    crashes = [
        scenario.crash(['common', f'{number}'])
        for number in range(CRASHES_OF_ANSWERED_PART)
    ]
    assert crashes[-1] == {'common'}
    assert not any(crashes[:-1])


def test_late_report_of_a_crash_counts_only_what_was_not_cleared() -> None:
    scenario = Scenario()
    scenario.crash(['system', 'dead'])
    crash = scenario.evidence.crashes()[0]
    scenario.answer('system')
    late = BrokenRequest(b'late', crash.happened_at - 0.1, ('system', 'dead'))
    scenario.evidence.add_crash(Crash(crash.name, crash.happened_at, (late,)))
    known = scenario.evidence.crashes()[0].requests
    assert {each.parts for each in known} == {('dead',)}


def test_parts_that_come_together_are_tried_apart() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['subject', 'dead'])
    assert scenario.evidence.quarantined == {'subject', 'dead'}
    assert scenario.blocked('subject', 'dead') == JOINT_TRIAL_SECONDS
    assert not scenario.blocked('subject')
    assert scenario.evidence.begin_trial(['subject']) == ('subject',)
    assert scenario.blocked('subject') == 2 * TRIAL_SECONDS
    assert scenario.answer('subject') == {'subject'}
    assert not scenario.blocked('subject')
    assert scenario.evidence.is_proven('dead')
    scenario.fail_trial('dead')
    assert scenario.blocked('subject', 'dead') >= TRIAL_SECONDS


def test_trial_without_a_result_does_not_delay_the_next_one() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['subject', 'dead'])
    scenario.evidence.begin_trial(['subject'])
    scenario.evidence.end_trial(['subject'])
    assert not scenario.blocked('subject')


def test_failed_trials_of_a_proven_part_grow_rarer() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['dead'])
    while len(scenario.evidence.crashes()) < MANY_CRASHES:
        scenario.fail_trial('dead')
    waits = []
    for _ in range(3):
        waits.append(scenario.blocked('dead'))
        scenario.fail_trial('dead')
    assert waits[0] >= PROVEN_TRIAL_SECONDS
    assert waits == sorted(waits)
    assert waits[-1] >= 3 * PROVEN_TRIAL_SECONDS


def test_quarantine_ends_when_nobody_asks_for_the_part() -> None:
    scenario = Scenario()
    for _ in range(CRASHES_OF_NEW_PART):
        scenario.crash(['dead'])
    scenario.clock.now += EXPIRY_SECONDS + 1
    scenario.crash(['other'])
    assert not scenario.blocked('dead')
    assert [crash.name for crash in scenario.evidence.crashes()] != []
    assert not scenario.crash(['dead'])


def test_recorded_part_is_quarantined_without_evidence() -> None:
    scenario = Scenario()
    scenario.evidence.restore('dead', is_proven=True)
    assert scenario.blocked('dead') >= PROVEN_TRIAL_SECONDS
    assert scenario.answer('dead') == {'dead'}
    assert not scenario.blocked('dead')


def test_recorded_parts_without_a_proof_are_tried_apart() -> None:
    scenario = Scenario()
    for part in ('subject', 'dead'):
        scenario.evidence.restore(part, is_proven=False)
    assert scenario.blocked('subject', 'dead') == JOINT_TRIAL_SECONDS
    assert not scenario.blocked('subject')
    assert scenario.answer('subject') == {'subject'}
    scenario.fail_trial('dead')
    assert scenario.blocked('dead') >= TRIAL_SECONDS


def test_evidence_is_bounded() -> None:
    scenario = Scenario()
    for number in range(2 * MAX_CRASHES):
        scenario.crash([f'{number}'], seconds=0)
    assert len(scenario.evidence.crashes()) <= MAX_CRASHES + 1


def test_later_crash_of_the_same_endpoint_is_another_crash() -> None:
    scenario = Scenario()
    for seconds, crashes in ((0, 1), (MERGE_SECONDS / 2, 1), (20, 2)):
        scenario.clock.now += seconds
        now = scenario.clock.now
        request = BrokenRequest(b'%d' % int(now), now - 0.1, ('dead',))
        scenario.evidence.add_crash(Crash('e', now, (request,)))
        assert len(scenario.evidence.crashes()) == crashes


@given(st.lists(st.sampled_from('abcd'), max_size=12))
def test_order_of_reports_does_not_change_what_is_quarantined(
    parts: list[str],
) -> None:
    crashes = [
        Crash(
            f'e-{number}',
            100.0 + number,
            (BrokenRequest(b'%d' % number, 99.5 + number, (part,)),),
        )
        for number, part in enumerate(parts)
    ]
    found = []
    for ordered in (crashes, crashes[::-1]):
        evidence = CrashEvidence(Clock())
        for crash in ordered:
            evidence.add_crash(crash)
        found.append(evidence.quarantined)
    expected = {
        part for part in parts if parts.count(part) >= CRASHES_OF_NEW_PART
    }
    assert found == [expected, expected]
