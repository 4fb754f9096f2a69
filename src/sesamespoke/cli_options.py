"""Options and outcomes that the operators' commands share."""

import ssl
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

import click

from sesamespoke.admin_client import NO_ANSWER, UNAVAILABLE, Answer, Fleet

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_NO_ANSWER = 4

Command = Callable[..., Any]


def fleet_options(command: Command) -> Command:
    """Add the options that say whom to ask, and as whom."""
    options = (
        click.option(
            '--admin',
            'urls',
            multiple=True,
            required=True,
            envvar='SESAMESPOKE_ADMIN',
            metavar='URL',
            help='Administration address of a router; repeat for each.',
        ),
        click.option(
            '--token',
            envvar='SESAMESPOKE_TOKEN',
            required=True,
            help="The team's token, or SESAMESPOKE_TOKEN.",
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


def make_fleet(
    urls: Iterable[str],
    token: str,
    authority: str | None,
) -> Fleet:
    """Return the fleet that the options name."""
    context = ssl.create_default_context(cafile=authority)
    return Fleet(tuple(urls), token, context)


def exit_unless_good(answer: Answer) -> None:
    """Leave with the exit code for an answer that is an error."""
    if answer.is_good:
        return
    error = answer.error
    for problem in error.get('problems', ()):
        place = '{section}:{line}: {path}'.format(**problem)
        found = 'found {found}, allowed {allowed}'.format(**problem)
        click.echo(f'{place}: {found}', err=True)
    message = str(error.get('message', 'no answer'))
    if error.get('code') == 'conflict':
        won = '{section} by {author} at revision {revision}'.format(**error)
        message = f'{message}: {won}'
    leave(_exit_code(answer.status), message)


def leave(code: int, message: str) -> NoReturn:
    """Tell why, and leave with an exit code."""
    click.echo(message, err=True)
    sys.exit(code)


def _exit_code(status: int) -> int:
    if status in {NO_ANSWER, UNAVAILABLE}:
        return EXIT_NO_ANSWER
    return EXIT_REFUSED
