"""The commands that take data centres out and bring them back."""

from typing import Any

import click

from sesamespoke.admin_client import Fleet, ask
from sesamespoke.cli_apply import apply_text, read_document, wait_option
from sesamespoke.cli_options import (
    EXIT_FAILED,
    exit_unless_good,
    fleet_options,
    leave,
    make_fleet,
)
from sesamespoke.document_edits import set_in_service


@click.group()
def data_centre() -> None:
    """Take data centres out of service and bring them back.

    \b
    Example:
      sesamespoke data-centre out spata --wait
    """


@data_centre.command()
@click.argument('name')
@fleet_options
@wait_option
def out(name: str, *, wait: bool, **options: Any) -> None:
    """Give a data centre no new work."""
    _set_in_service(make_fleet(**options), name, wait, in_service=False)


@data_centre.command('in')
@click.argument('name')
@fleet_options
@wait_option
def bring_in(name: str, *, wait: bool, **options: Any) -> None:
    """Give a data centre work again."""
    _set_in_service(make_fleet(**options), name, wait, in_service=True)


@data_centre.command()
@click.argument('name', required=False)
@fleet_options
def status(name: str | None, **options: Any) -> None:
    """Show data centres, whether in service, and their live hosts."""
    answer = ask(make_fleet(**options), 'GET', '/v1/data-centres')
    exit_unless_good(answer)
    rows = answer.content['data_centres']
    if name is not None and name not in rows:
        leave(EXIT_FAILED, f'no data centre {name!r}')
    for found, row in rows.items():
        if name in {None, found}:
            state = 'in service' if row['in_service'] else 'out of service'
            hosts = ', '.join(row['hosts']) or 'no host seen'
            click.echo(f'{found}: {state}; {hosts}')


def _set_in_service(
    fleet: Fleet,
    name: str,
    wait: bool,
    *,
    in_service: bool,
) -> None:
    number, texts = read_document(fleet)
    section = 'data_centres'
    text = set_in_service(texts[section], name, in_service=in_service)
    if text is None:
        leave(EXIT_FAILED, f'no data centre {name!r}')
    apply_text(fleet, section, text, number, wait)
