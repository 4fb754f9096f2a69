"""The demo's callers: a few accounts with a backlog, many with a trickle."""

import random
from collections.abc import Callable, Sequence

from sesamespoke.bench.load import (
    AccountLoad,
    Draft,
    Load,
    Target,
    skewed_weights,
)
from sesamespoke.bench.requests import AnswerSize, draft_call, draft_completion
from sesamespoke.fleet_plan import FleetPlan
from sesamespoke.world import ServiceKind

BACKLOG_PER_SHARE = 8
LARGE_ACCOUNTS = 4
TRICKLE_PER_SECOND = 0.6
CALLS_FRACTION = 0.3
SKEW = 0.5


def make_load(plan: FleetPlan, targets: Sequence[Target], seed: int) -> Load:
    """Return the demo's callers, none started.

    Every account's callers favour some routers, as desks do that are near
    to one data centre.
    """
    accounts = plan.document.accounts
    by_share = sorted(accounts, key=lambda name: -accounts[name].share)
    large = set(by_share[:LARGE_ACCOUNTS])
    loads = [
        AccountLoad(
            account=name,
            api_key=plan.api_keys[name],
            weights=skewed_weights(len(targets), f'{seed}/{name}', SKEW),
            backlog=(
                round(accounts[name].share * BACKLOG_PER_SHARE)
                if name in large
                else 0
            ),
            rate=TRICKLE_PER_SECOND,
        )
        for name in accounts
    ]
    return Load(targets, loads, make_build(plan), seed)


def language_models(plan: FleetPlan) -> list[str]:
    """Return the names of the language services."""
    return [
        name
        for name, service in plan.document.services.items()
        if service.kind is ServiceKind.LANGUAGE
    ]


def make_build(
    plan: FleetPlan,
) -> Callable[[AccountLoad, random.Random], Draft]:
    """Return a function that drafts completions and application calls."""
    services = plan.document.services
    models = language_models(plan)
    paths = [
        service.path
        for service in services.values()
        if service.kind is ServiceKind.APPLICATION
    ]

    def build(load: AccountLoad, rng: random.Random) -> Draft:
        if paths and not load.backlog and rng.random() < CALLS_FRACTION:
            return draft_call(load, rng, rng.choice(paths))
        return draft_completion(load, rng, rng.choice(models), AnswerSize())

    return build
