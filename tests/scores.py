"""Writes docs/SCORES.md from the journal of the users' bench.

    python tests/scores.py

A site's days are shown as the first plays on this bench had them, with the
code untouched, and as the newest ones have them. Trials are left out; they
stay in the journal.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / 'journal'
PAGE = ROOT / 'docs' / 'SCORES.md'
BENCH = 'bench-d17393'
IN_USE_SINCE = '2026-12-04T08:20'
"""Entries do not name their bench; earlier ones are of another."""
PLAYS = frozenset(('score', 'run'))
BASELINE = 'baseline'
TRIAL = 'trial'
HEAD = f"""# Scores

Written by `python tests/scores.py` from `journal/`; no figure by hand. All
plays are of the users' bench `{BENCH}`. Single plays: the bench calls a change
under 0.03 of a site noise. Marks are those between which a day's score lies.
`sources` identifies the code that was played, `code` its commit where that is
on main. `-`: not played.

| site | day | marks | baseline | newest | rules broken | floors missed | sources | code |
|---|---|---|---|---|---|---|---|---|
"""


@dataclass(frozen=True)
class Row:
    """One day of one site, as one play had it."""

    site: str
    day: str
    slot: str
    worth: float
    marks: str
    rules: str
    floors: str
    sources: str
    commit: str
    is_baseline: bool


def read_entries() -> Iterator[dict[str, Any]]:
    """Yield the plays of this bench in the order of time."""
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text())
        is_play = entry['cmd'] in PLAYS and entry.get('days')
        if is_play and entry['at'][0] >= IN_USE_SINCE:
            if not entry['why'].lower().startswith(TRIAL):
                yield entry


def read_rows(entry: dict[str, Any]) -> Iterator[Row]:
    """Yield the days of a play."""
    site = entry['site']
    if '--small' in entry['argv']:
        site = f'{site}, small twin'
    for day in entry['days']:
        fault = ['fault'] if day['fault'] else []
        marks = f'{day["naive"]} / {day["top"]}'
        if day['name'].startswith('fresh-') or '--seed' in day['name']:
            continue
        yield Row(
            site,
            day['name'],
            day['slot'],
            day['G'],
            marks,
            ', '.join([*fault, *day['rules']]) or 'none',
            ', '.join(map(str, day['short'])) or 'none',
            entry['policy'][0]['sha256'][:8],
            entry['head'][:7],
            entry['why'].lower().startswith(BASELINE),
        )


def main() -> None:
    """Write the page."""
    baseline: dict[tuple[str, str], Row] = {}
    newest: dict[tuple[str, str], Row] = {}
    for entry in read_entries():
        for row in read_rows(entry):
            key = (row.site, row.day)
            if row.is_baseline:
                baseline[key] = row
            newest[key] = row
    lines = []
    for key in sorted(newest):
        row = newest[key]
        first = baseline.get(key)
        before = f'{first.worth:.3f}' if first else '-'
        now = '-' if row is first else f'{row.worth:.3f}'
        lines.append(
            f'| {row.site} | {row.day} | {row.marks} | {before} | {now} '
            f'| {row.rules} | {row.floors} | {row.sources} | {row.commit} |\n'
        )
    PAGE.write_text(HEAD + ''.join(lines) + summarise(baseline, newest))


def summarise(
    baseline: dict[tuple[str, str], Row],
    newest: dict[tuple[str, str], Row],
) -> str:
    """Return the mean worth of each site's days with trouble."""
    lines = [
        '\n## Mean worth over the days with trouble\n\n',
        '| site | days | baseline | newest |\n|---|---|---|---|\n',
    ]
    for site in sorted({row.site for row in newest.values()}):
        means: list[tuple[int, float]] = []
        for rows in (baseline, newest):
            days = [
                row.worth
                for row in rows.values()
                if row.site == site and row.slot != 'quiet'
            ]
            means.append((len(days), sum(days) / len(days) if days else 0))
        (first_days, first), (now_days, now) = means
        shown = f'{first:.3f} ({first_days})' if first_days else '-'
        lines.append(f'| {site} | {now_days} | {shown} | {now:.3f} |\n')
    return ''.join(lines)


if __name__ == '__main__':
    main()
