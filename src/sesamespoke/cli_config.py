"""The commands that read and change the configuration document."""

import difflib
import time
from pathlib import Path
from typing import Any

import click

from sesamespoke.admin_client import ask
from sesamespoke.cli_apply import (
    apply_text,
    pick_text,
    read_document,
    wait_option,
)
from sesamespoke.cli_options import (
    EXIT_USAGE,
    exit_unless_good,
    fleet_options,
    leave,
    make_fleet,
)
from sesamespoke.document import (
    SECTIONS,
    check_document,
    parse_section,
    split_document,
)
from sesamespoke.document_edits import mark_revision, take_mark

section_option = click.option(
    '--section',
    type=click.Choice(SECTIONS),
    help='Only this section; the text is then that of the section.',
)
file_argument = click.argument(
    'path',
    metavar='FILE',
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)


@click.group()
def config() -> None:
    """Read, check and change the configuration document.

    \b
    Examples:
      sesamespoke config check fleet.jsonc
      sesamespoke config get --section accounts > accounts.jsonc
      sesamespoke config apply --section accounts --wait accounts.jsonc
    """


@config.command()
@fleet_options
@section_option
@click.option('--revision', type=int, help='A revision of the history.')
def get(section: str | None, revision: int | None, **options: Any) -> None:
    """Write the document, or a section, as its owners wrote it."""
    number, texts = read_document(make_fleet(**options), revision)
    click.echo(mark_revision(pick_text(texts, section), number))


@config.command()
@file_argument
@section_option
def check(path: Path, section: str | None) -> None:
    """Check a file without asking the fleet."""
    _, text = take_mark(path.read_text('utf-8'))
    if section is None:
        sections = split_document(text)
        checked = (
            sections
            if isinstance(sections, tuple)
            else check_document(sections)
        )
    else:
        checked = parse_section(section, text)
    if isinstance(checked, tuple):
        lines = [str(problem) for problem in checked]
        leave(EXIT_USAGE, '\n'.join(lines))
    click.echo(f'{path}: valid')


@config.command()
@file_argument
@fleet_options
@section_option
def diff(path: Path, section: str | None, **options: Any) -> None:
    """Show what applying a file would change."""
    _, text = take_mark(path.read_text('utf-8'))
    number, texts = read_document(make_fleet(**options))
    before = pick_text(texts, section).splitlines(keepends=True)
    after = text.splitlines(keepends=True)
    name = f'revision {number}'
    for line in difflib.unified_diff(before, after, name, str(path)):
        click.echo(line.rstrip('\n'))


@config.command()
@file_argument
@fleet_options
@section_option
@wait_option
@click.option('--base', type=int, help='The revision that was edited.')
def apply(
    path: Path,
    section: str | None,
    base: int | None,
    *,
    wait: bool,
    **options: Any,
) -> None:
    """Replace the sections that a file changes, all or none.

    The revision that was edited is taken from the file's first line, as
    `get` writes it, or from --base; without either, the latest counts.
    """
    fleet = make_fleet(**options)
    marked, text = take_mark(path.read_text('utf-8'))
    apply_text(fleet, section, text, marked if base is None else base, wait)


@config.command()
@fleet_options
@section_option
@wait_option
def edit(section: str | None, *, wait: bool, **options: Any) -> None:
    """Open the document, or a section, in an editor and apply it."""
    fleet = make_fleet(**options)
    number, texts = read_document(fleet)
    edited = click.edit(pick_text(texts, section), extension='.jsonc')
    if edited is None:
        leave(0, 'nothing was changed')
    apply_text(fleet, section, edited, number, wait)


@config.command()
@fleet_options
def history(**options: Any) -> None:
    """List the latest revisions, who made them and what they changed."""
    answer = ask(make_fleet(**options), 'GET', '/v1/history')
    exit_unless_good(answer)
    for row in answer.content['revisions']:
        accepted_at = time.gmtime(row['accepted_at'])
        stamp = time.strftime('%Y-%m-%d %H:%M:%SZ', accepted_at)
        sections = ', '.join(row['sections'])
        click.echo('{revision:6}  {author:16}'.format(**row), nl=False)
        click.echo(f'  {stamp}  {sections}')
