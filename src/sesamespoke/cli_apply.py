"""Reading the document from the fleet, and applying a changed text."""

import uuid
from collections.abc import Mapping

import click

from sesamespoke.admin_client import Answer, Fleet, ask, watch_spread
from sesamespoke.cli_options import (
    EXIT_FAILED,
    EXIT_USAGE,
    exit_unless_good,
    leave,
)
from sesamespoke.document import join_document, split_document

WAIT_SECONDS = 10.0

Sections = Mapping[str, str]

wait_option = click.option(
    '--wait',
    is_flag=True,
    help='Wait until the revision is in force; tell where it is not.',
)


def read_document(
    fleet: Fleet, revision: int | None = None
) -> tuple[int, Sections]:
    """Return a revision, the latest if none is named, and its texts."""
    query = '' if revision is None else f'?revision={revision}'
    answer = ask(fleet, 'GET', f'/v1/document{query}')
    exit_unless_good(answer)
    return _take_texts(answer)


def _take_texts(answer: Answer) -> tuple[int, Sections]:
    sections = answer.content['sections']
    texts = {name: row['text'] for name, row in sections.items()}
    return answer.content['revision'], texts


def pick_text(texts: Sections, section: str | None) -> str:
    """Return the text of a section, or of the whole document."""
    return join_document(texts) if section is None else texts[section]


def apply_text(
    fleet: Fleet,
    section: str | None,
    text: str,
    base: int | None,
    wait: bool,
) -> None:
    """Replace the sections that a text changes, and tell the revision.

    ``base`` is the revision that was edited; without it the latest counts.
    """
    wanted = {section: text} if section else split_document(text)
    if isinstance(wanted, tuple):
        lines = [str(problem) for problem in wanted]
        leave(EXIT_USAGE, '\n'.join(lines))
    number, changed = _find_changed(fleet, wanted)
    if not changed:
        click.echo(f'revision {number} already says so')
        return
    change = {
        'base': number if base is None else base,
        'change_id': uuid.uuid4().hex,
        'sections': changed,
    }
    answer = ask(fleet, 'POST', '/v1/document', change)
    exit_unless_good(answer)
    revision = answer.content['revision']
    names = ', '.join(changed)
    click.echo(f'revision {revision} is accepted: {names}')
    if wait:
        _wait(fleet, revision)


def _find_changed(fleet: Fleet, wanted: Sections) -> tuple[int, Sections]:
    """Return the latest revision and the texts that differ from its own."""
    answer = ask(fleet, 'GET', '/v1/document')
    if answer.error.get('code') == 'not_ready':
        return 0, wanted
    exit_unless_good(answer)
    number, texts = _take_texts(answer)
    if len(wanted) > 1:
        shown = split_document(join_document(texts))
        texts = texts if isinstance(shown, tuple) else dict(shown)
    changed = {
        name: text
        for name, text in wanted.items()
        if texts.get(name, '').strip() != text.strip()
    }
    return number, changed


def _wait(fleet: Fleet, revision: int) -> None:
    spread = list(watch_spread(fleet, revision, WAIT_SECONDS))[-1]
    for title, hosts in spread.items():
        if hosts:
            listed = ', '.join(hosts)
            label = title.replace('_', ' ')
            click.echo(f'{label}: {listed}')
    if spread['behind']:
        leave(EXIT_FAILED, 'not in force everywhere yet')
