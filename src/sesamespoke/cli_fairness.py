"""The command that weighs how fairly routers served the client accounts."""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict
from datetime import UTC, datetime
from typing import Any, Final, TextIO

import click

from sesamespoke.cli_options import EXIT_FAILED, leave
from sesamespoke.fairness_lines import read_lines
from sesamespoke.fairness_notes import OBSERVED, add_lines
from sesamespoke.fairness_report import (
    UNFAIR_BELOW,
    AccountRow,
    EndpointErrors,
    Window,
    choose_rows,
    find_windows,
    is_partial,
    list_errors,
    list_seconds,
)
from sesamespoke.fairness_tally import LineCounts, Tally

FIRST_STAMP: Final = 10**8
"""Times from here on are seconds since 1970."""

WINDOW_HEADS: Final = (
    'window',
    'account',
    'hosts',
    'asked',
    'got',
    'best',
    'owed',
    'got/owed',
)
ERROR_HEADS: Final = ('endpoint', 'attempts', 'tokens')
SECOND_HEADS: Final = (
    'second',
    'hosts',
    'asked',
    'got',
    'refused',
    'at once',
    'late',
    '5xx',
    *OBSERVED,
)


@click.command()
@click.argument(
    'files',
    nargs=-1,
    metavar='[FILE]...',
    default=('-',),
    type=click.File('r', encoding='utf-8', errors='replace', lazy=True),
)
@click.option('--account', help='Show this client account by the second.')
@click.option(
    '--window',
    'seconds',
    type=click.IntRange(min=1),
    default=6,
    show_default=True,
    help='Seconds of a sliding window.',
)
@click.option(
    '--rows',
    type=click.IntRange(min=0),
    default=10,
    show_default=True,
    help='Worst windows and endpoints that are shown.',
)
@click.option('--json', 'as_json', is_flag=True, help='Write one object.')
def fairness(
    files: Sequence[TextIO],
    account: str | None,
    seconds: int,
    rows: int,
    *,
    as_json: bool,
) -> None:
    """Weigh from routers' log lines how fairly accounts were served.

    Reads the files, or standard input. For each client account that was short
    throughout a window, what it got is held against what it is owed: what it
    asked or the best served account got, whichever is less, second by second,
    less three of its largest requests. The least ratio is the distance from
    unfairness. All amounts are tokens.

    \b
    Example:
      sesamespoke fairness --account acme routers.log
    """
    tally = Tally(watched=account)
    for stream in files:
        add_lines(tally, read_lines(stream, stream.name))
    if not tally.counts.requests:
        leave(EXIT_FAILED, 'no line on the end of a request')
    if account is not None and account not in tally.seconds:
        leave(EXIT_FAILED, f'no line names the account {account!r}')
    windows = find_windows(tally, seconds)
    worst = choose_rows(windows, seconds, rows)
    errors = list_errors(tally)
    by_second = [] if account is None else list_seconds(tally, account)
    if as_json:
        shown = _make_object(tally, windows, worst, errors[:rows])
        if account is not None:
            shown['account'] = account
            shown['seconds'] = [asdict(row) for row in by_second]
        click.echo(json.dumps(shown))
        return
    _show_figure(tally, windows)
    _show_table(WINDOW_HEADS, [_window_cells(each, seconds) for each in worst])
    _show_errors(errors, rows)
    _show_table(SECOND_HEADS, [_second_cells(row) for row in by_second])


def _make_object(
    tally: Tally,
    windows: Sequence[Window],
    worst: Iterable[Window],
    errors: Iterable[EndpointErrors],
) -> dict[str, Any]:
    return {
        'least_ratio': windows[0].ratio if windows else None,
        'unfair_below': UNFAIR_BELOW,
        'windows_counted': len(windows),
        'windows_unfair': _count_unfair(windows),
        'partial': is_partial(tally),
        'lines': asdict(tally.counts),
        'windows': [{**asdict(each), 'ratio': each.ratio} for each in worst],
        'server_errors': [asdict(row) for row in errors],
    }


def _count_unfair(windows: Iterable[Window]) -> int:
    return sum(each.ratio < UNFAIR_BELOW for each in windows)


def _show_figure(tally: Tally, windows: Sequence[Window]) -> None:
    """Write the least ratio, and what it leaves out."""
    figure = 'no account was short throughout a window'
    if windows:
        figure = (
            f'least got/owed: {windows[0].ratio:.3f}; unfair (below '
            f'{UNFAIR_BELOW}): {_count_unfair(windows)} of '
            f'{len(windows)} windows in which an account was short'
        )
    click.echo(figure)
    if is_partial(tally):
        click.echo('The figure is partial: lines or attempts are missing.')
    for text in _tell_lines(tally.counts):
        click.echo(text)


def _tell_lines(counts: LineCounts) -> Iterator[str]:
    """Return a text for each kind of line that is not what it should be."""
    yield f'{counts.read} lines read, {counts.requests} requests'
    texts = {
        'dropped by routers (lines_dropped)': counts.dropped,
        'cut': counts.cut,
        'no JSON, left out': counts.other,
        'on requests without a time, left out': counts.without_time,
        'without objective_ms: whether late is not known': (
            counts.without_objective
        ),
        'on attempts whose account is not known': counts.unassigned_attempts,
    }
    for text, number in texts.items():
        if number:
            yield f'{number} lines {text}'


def _show_errors(errors: Sequence[EndpointErrors], limit: int) -> None:
    """Write what went to attempts that endpoints answered with 5xx."""
    if not errors:
        return
    tokens = sum(row.tokens for row in errors)
    click.echo(
        f'\n{tokens:.0f} tokens went to attempts answered with 5xx, '
        f'at {len(errors)} endpoints'
    )
    cells = [
        (row.endpoint, f'{row.attempts}', f'{row.tokens:.0f}')
        for row in errors[:limit]
    ]
    _show_table(ERROR_HEADS, cells)


def _window_cells(window: Window, seconds: int) -> list[str]:
    start, end = window.start, window.start + seconds
    amounts = (window.asked, window.got, window.best, window.owed)
    return [
        f'{_format_time(start)} to {_format_time(end)}',
        window.account,
        _format_hosts(window.hosts),
        *(f'{amount:.0f}' for amount in amounts),
        f'{window.ratio:.3f}',
    ]


def _second_cells(row: AccountRow) -> list[str]:
    amounts = (row.asked, row.got)
    numbers = (row.refused, row.refused_at_once, row.late, row.server_errors)
    return [
        _format_time(row.second),
        _format_hosts(row.hosts),
        *(f'{amount:.0f}' for amount in amounts),
        *map(str, numbers),
        *(str(row.medians.get(name, '-')) for name in OBSERVED),
    ]


def _format_hosts(hosts: Sequence[str]) -> str:
    """Return the name of a single host, the number of several."""
    return hosts[0] if len(hosts) == 1 else f'{len(hosts)}'


def _format_time(second: int) -> str:
    if second < FIRST_STAMP:
        return f'{second}'
    return datetime.fromtimestamp(second, UTC).strftime('%H:%M:%S')


def _show_table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Write rows below heads, in columns of equal width."""
    if not rows:
        return
    widths = [
        max(map(len, column)) for column in zip(heads, *rows, strict=True)
    ]
    click.echo()
    for row in (heads, *rows):
        cells = [
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo('  '.join(cells))
