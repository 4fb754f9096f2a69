"""How far each client account was from being treated unfairly.

An account is owed, in each second, what it asked or what the best served
account got, whichever is less. Over a window, three times its largest request
in the window is taken off: a router decides on whole requests. A window counts
only if the account was short in each of its seconds, which means that one of
its requests was refused or late. What an account got over what it is owed is
its ratio; the least one is the distance from unfairness. Whether the time was
calm (no failure, no change of capacity) is not considered.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import reduce
from operator import or_
from typing import Final

from sesamespoke.fairness_tally import AccountSecond, Tally

UNFAIR_BELOW: Final = 0.5
"""Ratio below which an account is treated unfairly."""
ALLOWED_REQUESTS: Final = 3
"""Largest requests by which an account may get less than it is owed."""

_NOTHING: Final = AccountSecond()


@dataclass(frozen=True, slots=True)
class Window:
    """What an account asked and got in some seconds, in tokens.

    ``best`` sums up what the best served account of each second got.
    """

    start: int
    account: str
    hosts: tuple[str, ...]
    asked: float
    got: float
    best: float
    owed: float

    @property
    def ratio(self) -> float:
        """Return what the account got over what it is owed."""
        return self.got / self.owed


@dataclass(frozen=True, slots=True)
class EndpointErrors:
    """What an endpoint began and answered with 5xx."""

    endpoint: str
    attempts: int
    tokens: float


@dataclass(frozen=True, slots=True)
class AccountRow:
    """One second of an account; medians are those of the routers' lines."""

    second: int
    hosts: tuple[str, ...]
    asked: float
    got: float
    refused: int
    refused_at_once: int
    late: int
    server_errors: int
    medians: Mapping[str, float]


def find_windows(tally: Tally, seconds: int) -> list[Window]:
    """Return the windows that count, those with the least ratio first."""
    best = _find_best(tally)
    windows = [
        window
        for account, cells in tally.seconds.items()
        for start in _find_short(cells, seconds)
        if (
            window := _sum_window(
                tally, account, range(start, start + seconds), best
            )
        )
    ]
    return sorted(windows, key=lambda each: (each.ratio, each.start))


def choose_rows(
    windows: list[Window], seconds: int, limit: int
) -> list[Window]:
    """Return the first windows that overlap no other one of their account."""
    chosen: list[Window] = []
    for window in windows:
        if len(chosen) == limit:
            break
        if not any(
            window.account == other.account
            and abs(window.start - other.start) < seconds
            for other in chosen
        ):
            chosen.append(window)
    return chosen


def list_errors(tally: Tally) -> list[EndpointErrors]:
    """Return the endpoints that answered with 5xx, most tokens first."""
    rows = [
        EndpointErrors(endpoint, found.attempts, found.tokens)
        for endpoint, found in tally.errors.items()
    ]
    return sorted(rows, key=lambda row: (-row.tokens, row.endpoint))


def list_seconds(tally: Tally, account: str) -> list[AccountRow]:
    """Return an account's seconds in order; the tally has to watch it."""
    cells = tally.seconds.get(account, {})
    return [
        AccountRow(
            second,
            tally.host_names(cell.hosts),
            cell.asked,
            cell.got,
            cell.refused,
            cell.refused_at_once,
            cell.late,
            cell.server_errors,
            {
                name: _find_median(found)
                for name, found in tally.observed.get(second, {}).items()
            },
        )
        for second, cell in sorted(cells.items())
    ]


def is_partial(tally: Tally) -> bool:
    """Return whether lines are missing that would change the figures."""
    counts = tally.counts
    return any(
        (
            counts.dropped,
            counts.cut,
            counts.without_time,
            counts.unassigned_attempts,
        )
    )


def _find_best(tally: Tally) -> dict[int, float]:
    """Return what the best served account got, by second."""
    best: dict[int, float] = {}
    for cells in tally.seconds.values():
        for second, cell in cells.items():
            best[second] = max(best.get(second, 0), cell.got)
    return best


def _find_short(
    cells: Mapping[int, AccountSecond], seconds: int
) -> Iterator[int]:
    """Return the starts of windows in which the account is short throughout."""
    run = 0
    last: int | None = None
    for second in sorted(cells):
        cell = cells[second]
        if not (cell.refused or cell.late):
            run = 0
            continue
        run = run + 1 if last == second - 1 else 1
        last = second
        if run >= seconds:
            yield second - seconds + 1


def _sum_window(
    tally: Tally, account: str, span: range, best: Mapping[int, float]
) -> Window | None:
    """Return a window, or None if the account is owed nothing in it."""
    by_second = tally.seconds[account]
    cells = {second: by_second.get(second, _NOTHING) for second in span}
    owed = sum(min(cell.asked, best[at]) for at, cell in cells.items())
    owed -= ALLOWED_REQUESTS * max(cell.largest for cell in cells.values())
    if owed <= 0:
        return None
    return Window(
        span.start,
        account,
        tally.host_names(
            reduce(or_, (cell.hosts for cell in cells.values())),
        ),
        sum(cell.asked for cell in cells.values()),
        sum(cell.got for cell in cells.values()),
        sum(best[second] for second in span),
        owed,
    )


def _find_median(found: Counter[float]) -> float:
    """Return the median of counted values, the lower of the middle two."""
    left = (found.total() + 1) // 2
    for number in sorted(found):
        left -= found[number]
        if left <= 0:
            return number
    return 0
