"""The command that shows one time line of all routers."""

import asyncio
import ssl
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final

import click

from sesamespoke.timeline import Event
from sesamespoke.timeline_feed import (
    Source,
    Unreachable,
    follow_all,
    read_all,
)
from sesamespoke.timeline_json import dump_event

EXIT_NO_ANSWER: Final = 4
EXIT_INTERRUPTED: Final = 130

FILTERS: Mapping[str, str] = MappingProxyType(
    {
        'revision': 'Only events about this revision.',
        'request': 'Only events about this request id.',
        'account': 'Only events about this client account.',
        'endpoint': 'Only events about this endpoint.',
        'data-centre': 'Only events at or about this data centre.',
    },
)

Filter = Callable[[Event], bool]

FACT_OF_OPTION: Mapping[str, str] = MappingProxyType(
    {
        'endpoint': 'endpoint',
        'account': 'account',
        'request': 'request_id',
        'revision': 'revision',
    },
)


def add_filters(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that choose events."""
    for name, help_text in FILTERS.items():
        command = click.option(f'--{name}', help=help_text)(command)
    return command


def add_sources(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that say whom to ask, and as whom."""
    options = (
        click.option(
            '--admin',
            'urls',
            multiple=True,
            required=True,
            metavar='URL',
            help='Administration address of a router; repeat for each.',
        ),
        click.option(
            '--token',
            envvar='SESAMESPOKE_TOKEN',
            help="Operators' token.",
        ),
        click.option(
            '--authority',
            type=click.Path(exists=True, dir_okay=False),
            help='PEM file of the authority of the routers.',
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


@click.command()
@add_sources
@add_filters
@click.option('--follow', is_flag=True, help='Go on with new events.')
@click.option(
    '--plot',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Write a picture with a lane per host in place of lines.',
)
def timeline(
    urls: tuple[str, ...],
    token: str | None,
    authority: str | None,
    plot: Path | None,
    *,
    follow: bool,
    **wanted: str | None,
) -> None:
    """Merge the time lines of routers; write one JSON line per event."""
    if follow and plot is not None:
        raise click.UsageError('--follow and --plot exclude each other')
    context = ssl.create_default_context(cafile=authority)
    sources = [Source(url, token, context) for url in urls]
    accepts = make_filter(wanted)
    if follow:
        _run_follow(sources, accepts)
        return
    events, missing = asyncio.run(read_all(sources))
    _show([event for event in events if accepts(event)], plot)
    _tell_missing(missing)
    if len(missing) == len(sources):
        sys.exit(EXIT_NO_ANSWER)


def make_filter(wanted: Mapping[str, str | None]) -> Filter:
    """Return whether an event has to do with all that is asked for."""
    facts = {
        FACT_OF_OPTION[option]: text
        for option, text in wanted.items()
        if text is not None and option in FACT_OF_OPTION
    }
    data_centre = wanted.get('data_centre')

    def accepts(event: Event) -> bool:
        places = {event.data_centre, event.facts.get('seen')}
        return (data_centre is None or data_centre in places) and all(
            str(event.facts.get(name)) == text for name, text in facts.items()
        )

    return accepts


def _show(events: list[Event], plot: Path | None) -> None:
    """Write lines, or a picture."""
    if plot is None:
        for event in events:
            click.echo(dump_event(event))
        return
    # matplotlib is slow to import and rarely needed.
    from sesamespoke.timeline_plot import plot_events

    plot_events(events, plot)
    click.echo(f'{len(events)} events in {plot}', err=True)


def _tell_missing(missing: list[Unreachable]) -> None:
    """Name the routers that are not in the time line."""
    for router in missing:
        click.echo(f'not included: {router.url}: {router.reason}', err=True)


def _run_follow(sources: list[Source], accepts: Filter) -> None:
    """Write events as they come until interrupted."""

    def note(text: str) -> None:
        click.echo(text, err=True)

    async def write_all() -> None:
        async for event in follow_all(sources, note):
            if accepts(event):
                click.echo(dump_event(event))

    try:
        asyncio.run(write_all())
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
