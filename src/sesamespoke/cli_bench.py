"""The bench commands: one for each scenario, all of them, and reports."""

import importlib
import json
import statistics
import sys
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

import click

from sesamespoke.bench import compare as comparison
from sesamespoke.bench.results import (
    DEFAULT_DIR,
    Fields,
    ResultDir,
    conditions,
)

PACKAGE = 'sesamespoke.bench'
SCENARIOS = MappingProxyType(
    {
        'fairness': f'{PACKAGE}.fairness',
        'flood': f'{PACKAGE}.flood',
        'cold': f'{PACKAGE}.cold',
        'control': f'{PACKAGE}.control',
        'overhead': f'{PACKAGE}.overhead',
        'outcomes': f'{PACKAGE}.outcomes',
        'claims': f'{PACKAGE}.claims',
        'restart': f'{PACKAGE}.restart',
        'data-centre': f'{PACKAGE}.data_centre',
        'membership': f'{PACKAGE}.membership',
        'rollout': f'{PACKAGE}.rollout',
        'placing': f'{PACKAGE}.placing',
        'slopes': f'{PACKAGE}.slopes',
    },
)
WIDTH = 32
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class Options:
    """How a scenario is run, and where its results are kept."""

    seed: int
    repeat: int
    quick: bool
    as_json: bool
    out: Path
    compare: str | None
    given: Mapping[str, Any]


def say(text: str) -> None:
    """Show progress on standard error."""
    click.echo(text, err=True)


def run_once(name: str, seed: int, given: Mapping[str, Any]) -> Fields:
    """Import a scenario's module and run it with one seed."""
    try:
        module = importlib.import_module(SCENARIOS[name])
    except ModuleNotFoundError as exc:
        say(f'{name}: not part of this version: {exc}')
        sys.exit(EXIT_FAILED)
    run: Callable[..., Fields] = module.run
    began = time.monotonic()
    figures = run(seed, **given)
    return {
        'scenario': name,
        'seed': seed,
        'wall_seconds': round(time.monotonic() - began, 1),
        'conditions': conditions(),
        **figures,
    }


def spread(runs: list[Fields]) -> Fields:
    """Return median, least and largest of every figure of repeated runs."""
    names = [
        name
        for name, found in runs[0].items()
        if isinstance(found, int | float) and not isinstance(found, bool)
    ]
    return {
        name: {
            'median': statistics.median(run[name] for run in runs),
            'least': min(run[name] for run in runs),
            'largest': max(run[name] for run in runs),
        }
        for name in names
        if all(name in run for run in runs)
    }


def run_scenario(name: str, options: Options) -> Fields:
    """Run a scenario as often as asked, keeping each result as it comes."""
    kept = ResultDir(options.out)
    runs: list[Fields] = []
    for seed in range(options.seed, options.seed + options.repeat):
        say(f'{name}: seed {seed}')
        figures = run_once(name, seed, options.given)
        path = kept.keep(name, seed, figures)
        say(f'{name}: kept {path}')
        runs.append(figures)
    shown = dict(runs[0])
    if len(runs) > 1:
        shown['spread'] = spread(runs)
    if options.compare is not None:
        earlier = comparison.read_earlier(
            options.compare,
            name,
            options.seed,
        )
        shown['comparison'] = comparison.compare(runs[0], earlier)
    return shown


def show(figures: Mapping[str, Any], as_json: bool) -> None:
    """Print a result: one line of JSON, or its plain figures."""
    if as_json:
        click.echo(json.dumps(figures, sort_keys=True))
        return
    for name in sorted(figures):
        if not isinstance(figures[name], dict | list):
            click.echo(f'{name.ljust(WIDTH)} {figures[name]}')


def _options(command: Callable[..., None]) -> Callable[..., None]:
    decorators = (
        click.option('--seed', default=1, show_default=True, type=int),
        click.option(
            '--json',
            'as_json',
            is_flag=True,
            help='Print one JSON object on the last line.',
        ),
        click.option(
            '--out',
            default=DEFAULT_DIR,
            type=click.Path(path_type=Path),
            show_default=True,
            help='Directory where results are kept.',
        ),
        click.option('--quick', is_flag=True, help='A shorter run.'),
    )
    for decorate in decorators:
        command = decorate(command)
    return command


def _guard(work: Callable[[], Fields], as_json: bool) -> None:
    try:
        show(work(), as_json)
    except KeyboardInterrupt:
        say('interrupted; finished runs are kept')
        sys.exit(EXIT_INTERRUPTED)
    except comparison.NoEarlierResult as exc:
        say(f'nothing to compare with: {exc}')
        sys.exit(EXIT_FAILED)


@click.group()
def bench() -> None:
    """Measure the fleet, and what carries it to its design size.

    \b
    Examples:
      sesamespoke bench fairness --seed 3 --json
      sesamespoke bench fairness --repeat 3 --compare HEAD~5
      sesamespoke bench all --quick
      sesamespoke bench report results/local
    """


def _scenario_command(name: str) -> click.Command:
    @_options
    @click.option('--repeat', default=1, type=click.IntRange(1))
    @click.option(
        '--compare',
        metavar='REV|FILE',
        help='An earlier result: a file, or a revision that holds it.',
    )
    @click.option(
        '--set',
        'settings',
        multiple=True,
        metavar='NAME=JSON',
        help='An option of the scenario, such as seconds=20.',
    )
    def command(
        settings: tuple[str, ...],
        repeat: int,
        compare: str | None,
        **common: Any,
    ) -> None:
        given = _parse_settings(settings)
        if common['quick']:
            given['quick'] = True
        options = Options(
            repeat=repeat,
            compare=compare,
            given=given,
            **common,
        )
        _guard(lambda: run_scenario(name, options), options.as_json)

    about = f'Run the scenario of {SCENARIOS[name]}.'
    return click.command(name, help=about)(command)


def _parse_settings(settings: tuple[str, ...]) -> dict[str, Any]:
    given: dict[str, Any] = {}
    for setting in settings:
        name, equals, text = setting.partition('=')
        if not equals:
            raise click.BadParameter(f'{setting}: expected NAME=JSON')
        given[name] = json.loads(text)
    return given


deque(map(bench.add_command, map(_scenario_command, SCENARIOS)), 0)


@bench.command('all')
@_options
def run_all(**common: Any) -> None:
    """Run every scenario once; one that fails is told and passed over."""
    given = {'quick': True} if common['quick'] else {}
    options = Options(repeat=1, compare=None, given=given, **common)
    _guard(lambda: _run_each(options), options.as_json)


def _run_each(options: Options) -> Fields:
    figures: Fields = {}
    for name in SCENARIOS:
        try:
            figures[name] = run_scenario(name, options)
        except (Exception, SystemExit) as exc:
            say(f'{name}: failed: {exc!r}')
            figures[name] = {'failed': repr(exc)}
    return figures


@bench.command('run')
@_options
@click.argument('path', type=click.Path(exists=True, path_type=Path))
def run_file(path: Path, **common: Any) -> None:
    """Run a scenario of your own, in JSON with comments."""
    module = importlib.import_module(f'{PACKAGE}.scenario')
    fairness = importlib.import_module(SCENARIOS['fairness'])
    found = module.load_scenario(path)
    if isinstance(found, tuple):
        for problem in found:
            say(str(problem))
        sys.exit(EXIT_USAGE)
    seed = int(common['seed'])
    figures = fairness.run_policies(found.trial, seed, found.policies)
    result = {
        'scenario': found.name,
        'seed': seed,
        'conditions': conditions(),
        **figures,
    }
    ResultDir(common['out']).keep(found.name, seed, result)
    show(result, common['as_json'])


@bench.command()
@click.argument('directory', type=click.Path(exists=True, path_type=Path))
def report(directory: Path) -> None:
    """Write an HTML page with plots of the results kept in a directory."""
    page = importlib.import_module('sesamespoke.bench.report')
    click.echo(page.write(directory))


@bench.command()
@click.option('--check', is_flag=True, help='Fail if the page differs.')
def capacity(check: bool) -> None:
    """Rewrite the tables of docs/CAPACITY.md from the committed slopes."""
    page = importlib.import_module('sesamespoke.bench.capacity')
    if not page.rewrite(check=check):
        say('docs/CAPACITY.md differs from bench/results/slopes.json')
        sys.exit(EXIT_FAILED)
