"""How fairly accounts were served, from log lines of routers."""

import json
import tracemalloc
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from sesamespoke.cli import main
from sesamespoke.fairness_lines import read_lines
from sesamespoke.fairness_notes import MAX_UNASSIGNED, add_lines
from sesamespoke.fairness_report import find_windows
from sesamespoke.fairness_tally import Tally

SECONDS = 6
TOKENS = 1000


def end(
    at: float, account: str, event: str, host: str = 'north-1', **fields: Any
) -> str:
    """Return a collected line on a request that ended after 10 ms."""
    known: dict[str, Any] = {
        'request_id': f'{account}-{at}',
        'account': account,
        'ms': 10,
        'took_ms': 10,
        'objective_ms': 1000,
        'tokens': TOKENS,
        'endpoint': 'i-1',
        'verdict': 'ran',
        'event': f'request_{event}',
    }
    if event == 'refused':
        known |= {'reason': 'no_room', 'verdict': 'not run'}
        del known['took_ms'], known['endpoint']
    return f'{at:9.4f} {host} {json.dumps(known | fields)}\n'


def failure(at: float, account: str, **fields: Any) -> str:
    """Return a collected line on an attempt that was answered with 500."""
    known: dict[str, Any] = {
        'request_id': f'{account}-{at}',
        'account': account,
        'tokens': TOKENS,
        'took_ms': 10,
        'endpoint': 'i-1',
        'verdict': 'may have run',
        'why': '500',
        'sent': True,
        'event': 'attempt_failed',
    }
    return f'{at:9.4f} north-1 {json.dumps(known | fields)}\n'


def short_account(first: int = 0, seconds: int = SECONDS) -> Iterator[str]:
    """Let ``cut`` get a third of what it asks, and ``even`` all of it.

    Each asks 3000 tokens a second, ``cut`` at one host.
    """
    for second in range(first, first + seconds):
        yield end(second + 0.1, 'cut', 'served')
        yield end(second + 0.2, 'cut', 'refused')
        yield end(second + 0.3, 'cut', 'refused', ms=150)
        for number in range(3):
            host = f'north-{number + 1}'
            yield end(second + 0.4 + number / 10, 'even', 'served', host)


def run(lines: Iterable[str], *args: str) -> Result:
    return CliRunner().invoke(main, ['fairness', *args], ''.join(lines))


def run_json(lines: Iterable[str], *args: str) -> dict[str, Any]:
    done = run(lines, '--json', *args)
    assert done.exit_code == 0, done.output
    shown: dict[str, Any] = json.loads(done.stdout)
    return shown


def test_account_at_one_host_that_gets_a_third_is_the_worst_row() -> None:
    shown = run_json(short_account())
    # Owed are 6 seconds of 3000 less 3 requests of 1000; got are 6 of 1000.
    assert shown['least_ratio'] == pytest.approx(0.4)
    assert shown['windows_unfair'] == 1
    (row,) = shown['windows']
    assert (row['account'], row['hosts']) == ('cut', ['north-1'])
    assert (row['asked'], row['got']) == (18_000, 6000)
    assert (row['best'], row['owed']) == (18_000, 15_000)
    assert not shown['partial']


def test_rows_are_printed_for_operators() -> None:
    done = run(short_account(10))
    assert 'least got/owed: 0.400; unfair (below 0.5): 1 of 1' in done.stdout
    row = done.stdout.splitlines()[-1].split()
    assert row[:5] == ['10', 'to', '16', 'cut', 'north-1']
    assert row[5:] == ['18000', '6000', '18000', '15000', '0.400']


def test_best_served_account_bounds_what_is_owed() -> None:
    """An account that asked more than any got would always count as unfair."""
    lines = [
        text
        for text in short_account()
        if '"even"' not in text or text.lstrip().startswith(tuple('012345'))
    ]
    lines += [
        end(second + 0.8, 'cut', 'refused')
        for second in range(SECONDS)
        for _ in range(20)
    ]
    (window,) = run_json(lines)['windows']
    assert window['asked'] == SECONDS * 23 * TOKENS
    assert window['owed'] == 15_000


def test_account_is_not_owed_more_than_it_asks() -> None:
    """An account that asks for little would always count as unfair."""
    more = [
        end(second + 0.5, 'even', 'served')
        for second in range(SECONDS)
        for _ in range(9)
    ]
    (window,) = run_json([*short_account(), *more])['windows']
    assert (window['best'], window['owed']) == (72_000, 15_000)


def test_requests_answered_with_500_count_as_got() -> None:
    """An account that got only errors would seem to be refused."""
    lines = list(short_account())
    for second in range(SECONDS):
        for offset in (0.5, 0.6):
            lines += [
                failure(second + offset, 'cut'),
                end(
                    second + offset,
                    'cut',
                    'answered',
                    status=500,
                    verdict='may have run',
                ),
            ]
    shown = run_json(lines, '--account', 'cut')
    assert shown['windows'][0]['got'] == 18_000
    assert shown['windows'][0]['asked'] == 30_000
    assert shown['least_ratio'] == pytest.approx(18 / 15)
    assert shown['server_errors'] == [
        {'endpoint': 'i-1', 'attempts': 12, 'tokens': 12_000}
    ]
    assert [row['server_errors'] for row in shown['seconds']] == [2] * 6


def test_attempts_that_no_endpoint_began_are_not_got() -> None:
    lines = list(short_account())
    for second in range(SECONDS):
        lines += [
            failure(second + 0.5, 'cut', why='503', verdict='not run'),
            failure(second + 0.6, 'cut', sent=False),
        ]
    shown = run_json(lines)
    assert shown['least_ratio'] == pytest.approx(0.4)
    assert shown['server_errors'] == []


def test_lines_of_older_routers_get_their_account_from_the_end() -> None:
    """Their ``attempt_failed`` names neither the account nor the tokens."""
    lines = list(short_account())
    for second in range(SECONDS):
        fields = json.loads(failure(second + 0.5, 'cut').split(maxsplit=2)[2])
        del fields['account'], fields['tokens'], fields['took_ms']
        lines.append(f'{second + 0.5} north-1 {json.dumps(fields)}\n')
        lines.append(
            end(second + 0.5, 'cut', 'refused', verdict='may have run')
        )
    shown = run_json(lines)
    assert shown['windows'][0]['got'] == 12_000
    assert shown['server_errors'][0]['tokens'] == 6000
    assert not shown['partial']


def test_window_in_which_the_account_is_not_short_does_not_count() -> None:
    """Accounts that get all they ask for in one second are served in time."""
    lines = [
        text
        for text in short_account(seconds=11)
        if not ('"cut"' in text and 'refused' in text and ' 5.' in text[:9])
    ]
    shown = run_json(lines)
    assert shown['windows_counted'] == 0
    assert shown['least_ratio'] is None
    assert 'no account was short' in run(lines).stdout
    apart = [*short_account(seconds=3), *short_account(4, seconds=3)]
    assert run_json(apart)['windows_counted'] == 0
    shorter = run_json(lines, '--window', '5', '--rows', '9')
    assert [row['start'] for row in shorter['windows']] == [0, 6]


def test_windows_slide_and_rows_do_not_overlap() -> None:
    shown = run_json(short_account(seconds=13))
    assert shown['windows_counted'] == 8
    assert [row['start'] for row in shown['windows']] == [0, 6]
    assert len(run_json(short_account(), '--rows', '0')['windows']) == 0


def test_late_requests_make_an_account_short() -> None:
    """An account whose requests wait for long used to need a refusal."""
    lines = [text for text in short_account() if 'refused' not in text]
    lines += [end(second + 0.9, 'cut', 'refused') for second in (1, 2, 3, 4, 5)]
    assert run_json(lines)['windows_counted'] == 0
    # It came at 0.2 and was late from 0.7 to its first byte, at 0.9.
    late = end(
        2.2,
        'cut',
        'served',
        ms=2000,
        took_ms=1500,
        first_byte_ms=200,
        objective_ms=500,
    )
    assert run_json([*lines, late])['windows_counted'] == 1
    in_time = late.replace('"objective_ms": 500', '"objective_ms": 700')
    assert run_json([*lines, in_time])['windows_counted'] == 0


def test_tokens_count_when_they_were_asked_and_when_they_were_got() -> None:
    """Long streams would count for the second in which they ended."""
    lines = [end(9.5, 'cut', 'served', ms=9000, took_ms=6200)]
    shown = run_json(lines, '--account', 'cut')
    seconds = [
        (row['second'], row['asked'], row['got']) for row in shown['seconds']
    ]
    assert [row for row in seconds if row[1] or row[2]] == [
        (0, TOKENS, 0),
        (3, 0, TOKENS),
    ]


def test_account_is_told_second_by_second() -> None:
    rooms = (0.4, 0.5, 0.5, 1)
    lines = [
        end(7.1 + number / 10, 'cut', 'refused', account_room=room, ms=5)
        for number, room in enumerate(rooms)
    ]
    lines.append(end(7.5, 'cut', 'refused', host='north-2', ms=300))
    lines.append(end(8.5, 'cut', 'served', slowdown=1.5, least_used=0.2))
    shown = run_json(lines, '--account', 'cut')
    first, second = shown['seconds']
    assert first['hosts'] == ['north-1', 'north-2']
    assert (first['refused'], first['refused_at_once']) == (5, 4)
    assert (first['asked'], first['got']) == (5000, 0)
    assert first['medians'] == {'account_room': 0.5}
    assert second['medians'] == {'slowdown': 1.5, 'least_used': 0.2}
    printed = run(lines, '--account', 'cut').stdout.splitlines()
    assert printed[-2].split()[:6] == ['7', '2', '5000', '0', '5', '4']


def test_lines_as_routers_write_them_are_read() -> None:
    """Standard output has no prefix; the file then stands for the host."""
    lines = []
    for text in short_account():
        at, host, rest = text.split(maxsplit=2)
        stamp = f'2026-04-27T22:26:{float(at):09.6f}Z'
        lines.append(json.dumps({**json.loads(rest), 'timestamp': stamp}))
    lines.append('{"event": "lines_dropped", "count": 3}')
    shown = run_json('\n'.join(lines))
    assert shown['least_ratio'] == pytest.approx(0.4)
    assert shown['windows'][0]['hosts'] == ['-']
    assert shown['lines']['dropped'] == 3
    assert '22:26:00 to 22:26:06' in run('\n'.join(lines)).stdout


def test_lines_of_several_files_are_added_up(tmp_path: Path) -> None:
    paths = [tmp_path / name for name in ('one.log', 'two.log')]
    lines = list(short_account())
    for number, path in enumerate(paths):
        path.write_text(''.join(lines[number::2]))
    shown = run_json([], *map(str, paths))
    assert shown['least_ratio'] == pytest.approx(0.4)


def test_junk_lines_are_counted_and_left_out() -> None:
    """A traceback or a cut line would end the command or change sums."""
    lines = list(short_account())
    whole = lines[0]
    junk = [
        'Traceback (most recent call last):\n',
        '\n',
        '[1, 2]\n',
        '1.5 north-1 {"event": ["request_served"]}\n',
        '1.5 north-1 {"event": "of a later version", "account": 7}\n',
        whole.replace('"ms": 10', '"ms": 1e999'),
        whole.replace('"ms": 10', '"ms": true'),
        '\x00\ufffd' * 50 + '\n',
    ]
    shown = run_json(junk + lines)
    assert shown['least_ratio'] == pytest.approx(0.4)
    assert shown['lines']['other'] == 3
    assert shown['lines']['cut'] == 0
    assert shown['lines']['without_time'] == 2


def test_cut_lines_make_the_figure_partial() -> None:
    """A line that a collector writes into another one used to be lost."""
    lines = list(short_account())
    lines[0] = lines[0][:60] + lines[0]
    shown = run_json([*lines, lines[1][:80]])
    assert shown['least_ratio'] == pytest.approx(0.4)
    assert shown['lines']['cut'] == 2
    assert shown['partial']


def test_lines_that_lost_their_prefix_are_not_put_into_another_time() -> None:
    """They showed up as seconds of the routers' clock, at no host."""
    whole = json.loads(end(1, 'cut', 'refused').split(maxsplit=2)[2])
    whole['timestamp'] = '2026-04-27T22:26:51.100462Z'
    shown = run_json([*short_account(), json.dumps(whole)], '--account', 'cut')
    assert shown['lines']['cut'] == 1
    assert [row['second'] for row in shown['seconds']] == [0, 1, 2, 3, 4, 5]


def test_dropped_lines_make_the_figure_partial() -> None:
    dropped = ['1.5 north-1 {"event": "lines_dropped", "count": 40}\n'] * 2
    shown = run_json([*short_account(), *dropped])
    assert shown['lines']['dropped'] == 80
    assert shown['partial']
    printed = run([*short_account(), *dropped]).stdout
    assert 'The figure is partial' in printed
    assert '80 lines dropped by routers' in printed


def test_attempts_without_an_account_make_the_figure_partial() -> None:
    lone = json.loads(failure(1, 'cut').split(maxsplit=2)[2])
    del lone['account']
    shown = run_json([*short_account(), f'1.0 north-1 {json.dumps(lone)}\n'])
    assert shown['lines']['unassigned_attempts'] == 1
    assert shown['partial']


def test_log_without_requests_or_the_account_is_told() -> None:
    done = run(['no JSON\n'])
    assert (done.exit_code, done.stdout) == (1, '')
    assert 'no line on the end of a request' in done.stderr
    done = run(short_account(), '--account', 'unknown')
    assert done.exit_code == 1
    assert "no line names the account 'unknown'" in done.stderr


class _GeneratedText:
    """A text of many lines, none of which is held."""

    def __init__(self, lines: Iterator[str]) -> None:
        self.size = 0
        self._lines = lines

    def readline(self, size: int, /) -> str:
        line = next(self._lines, '')
        self.size += len(line)
        return line


def test_memory_is_bounded_by_accounts_and_seconds() -> None:
    """Logs of a day are larger than the memory of an operator's machine."""
    seconds, requests = 10, 2000
    known = json.loads(failure(0, 'ACCOUNT').split(maxsplit=2)[2])
    del known['account']
    known['request_id'] = 'NUMBER'
    failed = f'0.0000 north-1 {json.dumps(known)}\n'
    refused = end(
        0, 'ACCOUNT', 'refused', request_id='NUMBER', account_room='ROOM'
    ).replace('"ROOM"', 'ROOM')

    def generate() -> Iterator[str]:
        for number in range(seconds * requests):
            for text in (failed, refused):
                yield (
                    text.replace('0.0000', f'{number / requests}', 1)
                    .replace('ACCOUNT', f'account-{number % 3}')
                    .replace('NUMBER', f'{number}')
                    .replace('ROOM', f'{number % 100 / 100}')
                )

    text = _GeneratedText(generate())
    tally = Tally(watched='account-1')
    tracemalloc.start()
    try:
        add_lines(tally, read_lines(text, '-'))
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert tally.counts.requests == seconds * requests
    assert peak < text.size / 10
    assert len(find_windows(tally, SECONDS)) > 0


def test_attempts_whose_end_is_never_told_do_not_fill_memory() -> None:
    known = json.loads(failure(1, 'cut').split(maxsplit=2)[2])
    del known['account']
    number_of_lines = MAX_UNASSIGNED + 50
    tally = Tally()
    add_lines(
        tally,
        read_lines(
            _GeneratedText(
                f'1.0 north-1 {json.dumps({**known, "request_id": f"{each}"})}\n'
                for each in range(number_of_lines)
            ),
            '-',
        ),
    )
    assert len(tally.unassigned) == MAX_UNASSIGNED
    assert tally.counts.unassigned_attempts == number_of_lines
