"""A short soak of real processes, and that its checks find what they are for."""

import asyncio
import random
from typing import Any

import pytest
from soak.__main__ import PROMISES
from soak.callers import Try
from soak.checks import judge, lost
from soak.conduct import SoakPlan, soak
from soak.faults import DECEIT, LIMITED, PLANNED, draw
from soak.faults import KINDS as FAULTS
from soak.regressions import STORM
from soak.site import (
    COLD_BOUND,
    CONTACT_SECONDS,
    KINDS,
    LIMIT_BOUND,
    lay_out,
)

BY_NAME = {kind.name: kind for kind in KINDS}
SLACK = 5.0


@pytest.mark.parametrize(
    'plan',
    [
        SoakPlan(2, 25, 9, 4, 40, 1.5, STORM),
        SoakPlan(6, 20, 3, 3, 30, 3, tuple(sorted(PLANNED))),
        SoakPlan(1, 20, 3, 4, 30, 1, (DECEIT,)),
        SoakPlan(1, 25, 9, 4, 60, 3, (LIMITED, 'store', 'freeze store')),
    ],
    ids=['storm', 'planned', 'lying engines', 'limited engines'],
)
def test_a_short_soak_keeps_every_promise(plan: SoakPlan) -> None:
    found = asyncio.run(soak(plan))
    assert found['requests'] > plan.seconds * plan.rate / 2
    assert found['outcomes']['200'] > found['requests'] / 5
    broken = {name: found[name] for name in PROMISES if found[name]}
    assert not broken, found


def test_faults_follow_from_the_seed_alone() -> None:
    site = lay_out(9, 6, 3, 20, iter(range(12_000, 14_000)))
    first, again, other = (
        draw(site, 60, 1, FAULTS, random.Random(seed)) for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other
    assert {fault.kind for fault in first} <= FAULTS.keys()


def tried(name: str, number: int, at: float, **facts: Any) -> Try:
    kind = BY_NAME[name]
    one = Try(f'{name}-{number}', kind, 'router-1', at, at + kind.deadline)
    one.whole, one.status, one.told_ms = True, 200, 1000
    for key, fact in facts.items():
        setattr(one, key, fact)
    return one


def seen(what: str, one: Try, at: float, **facts: Any) -> dict[str, Any]:
    row = {'t': at, 'e': what, 'id': one.request_id, 'name': 'engine-1-7'}
    return {**row, 'left': 900, 'cold': False, 'limited': False, **facts}


def broken(tries: list[Try], rows: list[dict[str, Any]]) -> set[str]:
    found = judge(tries, rows, SLACK)
    return {name for name in PROMISES if found.get(name)}


def test_what_keeps_every_promise_is_not_found_broken() -> None:
    tries = [tried('look', number, number) for number in range(20)]
    rows = [seen('arrive', one, one.sent_at) for one in tries]
    rows += [seen('run', one, one.sent_at) for one in tries]
    rows.append(seen('arrive', tries[0], 0.3, name='engine-2-7'))
    assert broken(tries, rows) == set()


def test_each_broken_promise_is_found() -> None:
    book = tried('book', 1, 0)
    runs = [seen('arrive', book, 0), seen('run', book, 0), seen('run', book, 1)]
    assert broken([book], runs) == {'ran_twice'}
    book.status = 503
    assert broken([book], runs[:2]) == {'false_not_run'}
    wrong = tried('look', 1, 0, fault='wrong: the body')
    assert broken([wrong], []) == {'wrong_or_cut_answers'}
    stranger = seen('arrive', tried('look', 2, 0), 0)
    assert broken([wrong], [stranger]) >= {'unknown_requests'}


def test_repeats_beyond_the_budget_of_a_window_are_found() -> None:
    tries = [tried('look', number, 0.1 * number) for number in range(50)]
    once = [seen('arrive', one, one.sent_at) for one in tries]
    again = [seen('arrive', one, one.sent_at + 1) for one in tries]
    allowed = round(0.2 * len(tries) + SLACK)
    assert broken(tries, once + again[:allowed]) == set()
    found = broken(tries, once + again[: allowed + 1])
    assert found == {'over_retry_budget'}


def test_a_request_that_is_sent_on_after_three_crashes_is_found() -> None:
    tries = [tried('seat', n, n, poison=True) for n in range(12)]
    rows = [seen('arrive', one, one.sent_at) for one in tries]
    rows += [seen('run', one, one.sent_at) for one in tries]
    assert broken(tries, rows) == {'poison_retries'}
    assert broken(tries[:6], rows[:6] + rows[12:18]) == set()


def test_more_than_a_cold_engine_bears_is_found() -> None:
    count = int(COLD_BOUND) + 1
    tries = [tried('look', n, n / count) for n in range(count)]
    rows = [seen('arrive', one, one.sent_at, cold=True) for one in tries]
    assert broken(tries, rows) == {'over_cold_limit'}
    assert broken(tries, rows[1:]) == set()


def test_more_than_the_limit_that_an_engine_names_is_found() -> None:
    count = int(LIMIT_BOUND) + 1
    tries = [tried('look', n, n / count) for n in range(count + 1)]
    first, *later = (seen('arrive', one, 0, limited=True) for one in tries)
    for number, row in enumerate(later):
        row['t'] = CONTACT_SECONDS + number / count
    assert broken(tries, [first, *later]) == {'over_named_limit'}
    assert broken(tries, [first, *later[1:]]) == set()


def test_attempts_and_deadlines_beyond_what_is_allowed_are_found() -> None:
    tries = [tried('look', number, number) for number in range(30)]
    rows = [seen('arrive', one, one.sent_at) for one in tries]
    for engine in ('engine-1-7', 'engine-2-7', 'engine-3-7'):
        rows += [
            seen('run', one, one.sent_at, name=engine) for one in tries[:4]
        ]
    assert broken(tries, rows) == {'over_max_attempts'}
    longer = [
        seen('arrive', one, one.sent_at, left=one.told_ms + 600)
        for one in tries
    ]
    assert broken(tries, longer) == {'longer_deadlines'}


def test_a_request_that_ended_without_an_answer_is_lost_if_it_was_taken() -> (
    None
):
    cut = tried('look', 1, 0, whole=False, fault='cut', ended_at=0.1)
    assert lost([cut], []) == []
    assert len(lost([cut], [seen('arrive', cut, 0)])) == 1
    cut.ended_at = 1
    assert len(lost([cut], [])) == 1
