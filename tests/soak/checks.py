"""The promises, held against what callers sent and engines saw."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from soak.callers import PROMISES, Try
from soak.site import (
    COLD_BOUND,
    CONTACT_SECONDS,
    KINDS,
    LIMIT_BOUND,
    LIMIT_WINDOW,
    RETRY_RATIO,
    RETRY_WINDOW,
)

ALLOWED_OVER_ATTEMPTS = 3
ALLOWED_POISON = 3
CRASHES = 3
LONGER_SECONDS = 0.5
LOSS_SLACK_SECONDS = 0.2
ALLOWED_LONGER = 20
ALLOWED_LONGER_PART = 0.2
Row = dict[str, Any]


@dataclass
class Seen:
    """What engines told of one request."""

    arrivals: list[Row] = field(default_factory=list)
    runs: list[Row] = field(default_factory=list)


def judge(
    tries: Sequence[Try], rows: Iterable[Row], slack: float
) -> dict[str, Any]:
    """Return how often each promise was broken, with the first cases."""
    seen: defaultdict[str, Seen] = defaultdict(Seen)
    ordered = sorted(rows, key=lambda row: row['t'])
    for row in ordered:
        if row['e'] == 'arrive':
            seen[row['id']].arrivals.append(row)
        elif row['e'] == 'run':
            seen[row['id']].runs.append(row)
    by_id = {one.request_id: one for one in tries}
    found = {
        'ran_twice': [
            one.request_id
            for one in tries
            if one.kind.is_once and len(seen[one.request_id].runs) > 1
        ],
        'false_not_run': [
            one.request_id
            for one in tries
            if one.kind.is_once
            and one.status in PROMISES
            and seen[one.request_id].runs
        ],
        'wrong_or_cut_answers': [
            f'{one.request_id}: {one.fault}'
            for one in tries
            if one.fault.startswith('wrong')
        ],
        'over_max_attempts': _over_attempts(tries, seen),
        'longer_deadlines': _longer_deadlines(tries, seen),
        'over_retry_budget': _over_budget(tries, seen, slack),
        'poison_retries': _poison_retries(ordered, by_id),
        'over_cold_limit': _over_cold(ordered),
        'over_named_limit': _over_named_limit(ordered),
        'unknown_requests': [key for key in seen if key not in by_id],
    }
    return {
        **{name: len(cases) for name, cases in found.items()},
        'cases': {name: cases[:5] for name, cases in found.items() if cases},
    }


def _over_attempts(tries: Sequence[Try], seen: dict[str, Seen]) -> list[str]:
    over = [
        one.request_id
        for one in tries
        if len({row['name'] for row in seen[one.request_id].runs})
        > one.kind.max_attempts
    ]
    return over if len(over) > ALLOWED_OVER_ATTEMPTS else []


def _longer_deadlines(tries: Sequence[Try], seen: dict[str, Seen]) -> list[str]:
    """Return requests whose engines were told of more time than was left.

    Either more than the client told, or, sent once more later, an end after
    that of the first send and the client's own.
    """
    found, counted = [], 0
    for one in tries:
        if one.kind.events:
            continue
        arrivals = seen[one.request_id].arrivals
        for number, row in enumerate(arrivals):
            ends_at = row['t'] + row['left'] / 1000
            first = arrivals[0]
            is_late = row['t'] - first['t'] > LONGER_SECONDS
            counted += number == 0 or is_late
            own = max(first['t'] + first['left'] / 1000, one.deadline)
            is_longer = row['left'] - one.told_ms > LONGER_SECONDS * 1000
            if is_longer or (is_late and ends_at - own > LONGER_SECONDS):
                found.append(f'{one.request_id}: {ends_at - own:.1f} s')
    allowed = max(ALLOWED_LONGER, counted * ALLOWED_LONGER_PART)
    return found if len(found) > allowed else []


def _over_budget(
    tries: Sequence[Try], seen: dict[str, Seen], slack: float
) -> list[str]:
    """Return a case for each window with more repeats than are allowed."""
    cases = []
    for service in {kind.service for kind in KINDS}:
        ours = [one for one in tries if one.kind.service == service]
        fresh = sorted(one.sent_at for one in ours)
        repeats = sorted(
            row['t']
            for one in ours
            for row in seen[one.request_id].arrivals[1:]
        )
        worst = max(
            (
                (
                    _count(repeats, began, began + RETRY_WINDOW)
                    - RETRY_RATIO * _base(fresh, began)
                    - slack,
                    began,
                )
                for began in repeats
            ),
            default=(0, 0),
        )
        if worst[0] > 0:
            count = _count(repeats, worst[1], worst[1] + RETRY_WINDOW)
            cases.append(
                f'{service}: {count} repeats from {worst[1]:.1f} on,'
                f' {worst[0]:.0f} too many'
            )
    return cases


def repeats_at_most(
    tries: Sequence[Try], rows: Iterable[Row], slack: float
) -> dict[str, float]:
    """Return the largest part of the allowed repeats that was used."""
    arrivals: defaultdict[str, list[float]] = defaultdict(list)
    for row in rows:
        if row['e'] == 'arrive':
            arrivals[row['id']].append(row['t'])
    used = {}
    for service in sorted({kind.service for kind in KINDS}):
        ours = [one for one in tries if one.kind.service == service]
        fresh = sorted(one.sent_at for one in ours)
        repeats = sorted(
            at for one in ours for at in sorted(arrivals[one.request_id])[1:]
        )
        parts = (
            _count(repeats, began, began + RETRY_WINDOW)
            / (RETRY_RATIO * _base(fresh, began) + slack)
            for began in repeats
        )
        used[service] = round(max(parts, default=0), 2)
    return used


def _base(fresh: list[float], began: float) -> int:
    return max(
        _count(fresh, began - back, began - back + RETRY_WINDOW)
        for back in (0, RETRY_WINDOW / 2, RETRY_WINDOW)
    )


def _count(times: list[float], began: float, ended: float) -> int:
    return bisect_right(times, ended) - bisect_left(times, began)


def _poison_retries(rows: list[Row], by_id: dict[str, Try]) -> list[str]:
    """Return what was sent on of a request that had crashed three engines."""
    crashes = [
        row['t']
        for row in rows
        if row['e'] == 'run' and row['id'] in by_id and by_id[row['id']].poison
    ]
    if len(crashes) < CRASHES:
        return []
    late = crashes[CRASHES - 1] + CONTACT_SECONDS
    after = [
        row['id']
        for row in rows
        if row['e'] == 'arrive'
        and row['t'] > late
        and row['id'] in by_id
        and by_id[row['id']].poison
    ]
    return after if len(after) > ALLOWED_POISON else []


def _over_cold(rows: list[Row]) -> list[str]:
    """Return the engines that got more in a second than a cold one bears."""
    cold: defaultdict[str, list[float]] = defaultdict(list)
    for row in rows:
        if row['e'] == 'arrive' and row['cold']:
            cold[row['name']].append(row['t'])
    return [
        f'{name}: {_count(times, began, began + 1)} from {began:.1f} on'
        for name, times in cold.items()
        for began in times[:1]
        if max(_count(times, at, at + 1) for at in times) > COLD_BOUND
    ]


def _over_named_limit(rows: list[Row]) -> list[str]:
    """Return the engines that got more than the limit that they name.

    It holds from a while after an engine first named it, as long as it does.
    """
    since: dict[str, float] = {}
    counted: defaultdict[str, list[float]] = defaultdict(list)
    cases = []
    for row in rows:
        name = row.get('name', '')
        if row['e'] != 'arrive':
            continue
        if not row['limited']:
            since.pop(name, None)
            counted.pop(name, None)
            continue
        if row['t'] < since.setdefault(name, row['t']) + CONTACT_SECONDS:
            continue
        times = counted[name]
        times.append(row['t'])
        count = _count(times, row['t'] - LIMIT_WINDOW, row['t'])
        if count > LIMIT_BOUND:
            cases.append(f'{name}: {count} until {row["t"]:.1f}')
    return cases


def lost(tries: Sequence[Try], rows: Iterable[Row]) -> list[str]:
    """Return requests that were taken and ended without a whole answer.

    One that crosses the router's close counts if it was passed on.
    """
    arrived = {row['id'] for row in rows if row['e'] == 'arrive'}
    return [
        f'{one.request_id} at {one.router}: {one.fault}'
        for one in tries
        if one.router
        and not one.whole
        and (
            one.request_id in arrived
            or one.ended_at - one.sent_at > LOSS_SLACK_SECONDS
        )
    ]


def outcomes(tries: Sequence[Try]) -> Counter[str]:
    return Counter(
        one.fault.partition(':')[0] or str(one.status) for one in tries
    )
