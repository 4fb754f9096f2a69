"""Requests, endpoints and a fake clock for tests of routed services."""

from dataclasses import dataclass

from sesamespoke.serving.catalog import (
    CallKind,
    EngineSpec,
    Route,
    RoutedService,
    WeightedService,
)
from sesamespoke.serving.directory import ListedEndpoint
from sesamespoke.serving.job import Job, Prompt, PromptPart

ENGINE = RoutedService('llm', 8.9, EngineSpec(64))
PLAIN = RoutedService('desk', 0)
STREAM_ROUTE = Route(
    'guide',
    'a.example',
    '/g/',
    CallKind.STREAM,
    (WeightedService('llm', 1),),
    timeout=12,
    objective=1,
    max_attempts=2,
    resumable=True,
    max_gap=0.6,
)


@dataclass
class Clock:
    """A fake clock, which a test sets."""

    now: float = 100

    def __call__(self) -> float:
        return self.now


def endpoints_of(
    service: RoutedService, count: int
) -> tuple[ListedEndpoint, ...]:
    return tuple(
        ListedEndpoint(
            f'{service.name}-{number}',
            service.name,
            f'10.0.0.{number}:80',
            'north',
            slots=64 if service.engine else 6,
        )
        for number in range(count)
    )


def prompt_of(prefix: str, shared: int = 5000, own: int = 6000) -> Prompt:
    parts = (PromptPart(prefix, shared), PromptPart(f'{prefix}x', own))
    return Prompt(parts, shared + own, 400)


def job_of(
    account: str,
    prefix: str = 'b',
    *,
    arrived_at: float = 100,
    request_id: str = 'r',
    route: Route = STREAM_ROUTE,
) -> Job:
    return Job(
        request_id,
        account,
        route.weighted_services[0].service,
        route,
        'POST',
        '/g/1',
        (),
        b'',
        arrived_at,
        arrived_at + route.timeout,
        b'digest',
        prompt=prompt_of(prefix),
    )
