"""Sums up what client accounts asked and got, second by second, from log lines.

Asked are the tokens of each request, in the second in which it came: the time
of the line on its end less its ``ms``. Got are the tokens of each attempt that
an endpoint began, in the second in which it was sent: the time of the line on
the attempt's end less its ``took_ms``. Attempts that were sent and that the
endpoint does not state as not run count as begun, those answered with 5xx too.

What lines do not tell is approximated:

- Without ``took_ms``, as older routers write them, an attempt that failed
  counts as sent when it ended, any other when its request came.
- Without ``account`` in ``attempt_failed``, the attempt is counted as soon as
  the line on the request's end is read; none may come.
- An attempt that was sent once more on a new connection counts once, one
  that may have run counts in full.
- A request is late from its objective (``objective_ms``) to its first byte, or
  to the end of an answer that is no stream. Lines without the objective make
  no request late. The first byte of a stream that moved to another endpoint is
  that of the last attempt.
- Not known are requests in work when the log ends, with the attempts that they
  were given, and callers that left while they waited.
- A caller that comes back asks anew. Requests without an account (refused
  before they were known) are left out.
"""

import math
import re
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

from sesamespoke.fairness_lines import LogLine, Unreadable
from sesamespoke.fairness_tally import BegunAttempt, ErrorSum, Tally

AT_ONCE_MS: Final = 20
"""A request refused within this time has not waited."""
MAX_LATE_SECONDS: Final = 600
"""Limit of the seconds in which one request is late."""
MAX_UNASSIGNED: Final = 20_000
"""Limit of the requests whose attempts wait for the line with the account."""
MS_PER_SECOND: Final = 1000
OBSERVED: Final = ('account_room', 'least_used', 'slowdown')

_SERVER_ERROR: Final = re.compile(r'5\d\d\b')


def add_lines(tally: Tally, lines: Iterable[LogLine | Unreadable]) -> None:
    """Add lines, in the order in which each host wrote its own."""
    for line in lines:
        tally.counts.read += 1
        if isinstance(line, Unreadable):
            tally.counts.cut += line is Unreadable.CUT
            tally.counts.other += line is Unreadable.OTHER
            continue
        note = _NOTES.get(line.event)
        if note is not None:
            note(tally, line)


def _note_dropped(tally: Tally, line: LogLine) -> None:
    tally.counts.dropped += round(line.number('count') or 0)


def _note_failure(tally: Tally, line: LogLine) -> None:
    """Note an attempt that gave no usable response."""
    if line.at is None:
        tally.counts.without_time += 1
        return
    if not line.fields.get('sent') or line.text('verdict') == 'not run':
        return
    attempt = BegunAttempt(
        line.at - (line.number('took_ms') or 0) / MS_PER_SECOND,
        line.host,
        line.text('endpoint'),
        _SERVER_ERROR.match(line.text('why')) is not None,
    )
    if 'account' in line.fields:
        _give(tally, line, attempt)
        return
    waiting = tally.unassigned.setdefault(line.text('request_id'), [])
    waiting.append(attempt)
    tally.counts.unassigned_attempts += 1
    if len(tally.unassigned) > MAX_UNASSIGNED:
        tally.unassigned.pop(next(iter(tally.unassigned)))


def _give(tally: Tally, line: LogLine, attempt: BegunAttempt) -> None:
    """Count an attempt for the account that a line names."""
    account, tokens = line.text('account'), line.number('tokens') or 0
    if attempt.error:
        errors = tally.errors.setdefault(attempt.endpoint, ErrorSum())
        errors.attempts += 1
        errors.tokens += tokens
    if account:
        cell = tally.second(account, attempt.sent_at, attempt.host)
        cell.got += tokens
        cell.server_errors += attempt.error


def _note_end(tally: Tally, line: LogLine) -> None:
    """Note a request, and those of its attempts not yet counted."""
    account, waited_ms = line.text('account'), line.number('ms')
    if line.at is None or waited_ms is None:
        tally.counts.without_time += 1
        return
    for attempt in tally.unassigned.pop(line.text('request_id'), ()):
        tally.counts.unassigned_attempts -= 1
        _give(tally, line, attempt)
    arrived_at = line.at - waited_ms / MS_PER_SECOND
    if _has_begun(line):
        took_ms = line.number('took_ms')
        sent_at = line.at - (took_ms or 0) / MS_PER_SECOND
        if took_ms is None:
            sent_at = arrived_at
        _give(
            tally,
            line,
            BegunAttempt(
                sent_at, line.host, line.text('endpoint'), error=False
            ),
        )
    if not account:
        return
    tally.counts.requests += 1
    tokens = line.number('tokens') or 0
    cell = tally.second(account, arrived_at, line.host)
    cell.asked += tokens
    cell.largest = max(cell.largest, tokens)
    if line.event == 'request_refused':
        cell = tally.second(account, line.at, line.host)
        cell.refused += 1
        cell.refused_at_once += waited_ms < AT_ONCE_MS
    else:
        _note_lateness(tally, line, arrived_at)
    if account == tally.watched:
        _observe(tally, line)


def _has_begun(line: LogLine) -> bool:
    """Return whether the last attempt has no line ``attempt_failed``."""
    if line.event == 'request_answered':
        return line.text('verdict') == 'ran'
    return line.event in {'request_served', 'request_caller_left'}


def _note_lateness(tally: Tally, line: LogLine, arrived_at: float) -> None:
    """Note the seconds in which a request waited beyond its objective."""
    objective_ms = line.number('objective_ms')
    if objective_ms is None:
        tally.counts.without_objective += 1
        return
    waited_ms = _waited_ms(line)
    if waited_ms is None or waited_ms <= objective_ms:
        return
    first = math.floor(arrived_at + objective_ms / MS_PER_SECOND)
    last = math.floor(arrived_at + waited_ms / MS_PER_SECOND)
    for second in range(first, min(last, first + MAX_LATE_SECONDS) + 1):
        tally.second(line.text('account'), second, line.host).late += 1


def _waited_ms(line: LogLine) -> float | None:
    """Return the time from a request to the answer's first byte, if any."""
    whole_ms = line.number('ms') or 0
    if line.event != 'request_served':
        return whole_ms if line.event == 'request_answered' else None
    first_byte_ms = line.number('first_byte_ms')
    if first_byte_ms is None:
        return None
    return whole_ms - (line.number('took_ms') or whole_ms) + first_byte_ms


def _observe(tally: Tally, line: LogLine) -> None:
    """Count what the router stated in the second of a line."""
    rows = tally.observed.setdefault(math.floor(line.at or 0), {})
    for name in OBSERVED:
        found = line.number(name)
        if found is not None:
            rows.setdefault(name, Counter())[round(found, 2)] += 1


_NOTES: Mapping[str, Callable[[Tally, LogLine], None]] = MappingProxyType(
    {
        'attempt_failed': _note_failure,
        'lines_dropped': _note_dropped,
        'request_answered': _note_end,
        'request_caller_left': _note_end,
        'request_refused': _note_end,
        'request_served': _note_end,
    },
)
