"""What goes wrong in one soak, and when: drawn from its seed alone."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from soak.site import GRACE_SECONDS, SERVICES, ZONES, Site

FIRST_SECONDS = 3.0
CALM_SECONDS = 5.0
"""At the end everything is whole again."""


@dataclass(frozen=True)
class Fault:
    """One disturbance of some processes or links, for some seconds."""

    at: float
    kind: str
    seconds: float
    targets: tuple[str, ...] = ()
    mode: str = ''
    part: float = 0


def draw(
    site: Site,
    seconds: float,
    pace: float,
    kinds: Mapping[str, float],
    rng: random.Random,
) -> list[Fault]:
    """Return the faults of a soak, in series and overlapping.

    ``pace`` is the mean time between the beginnings of two, in seconds.
    """
    faults: list[Fault] = []
    at = FIRST_SECONDS
    while at < seconds - CALM_SECONDS:
        kind = rng.choices(tuple(kinds), tuple(kinds.values()))[0]
        longest = seconds - CALM_SECONDS - at
        faults.append(_draw_one(site, kind, at, longest, rng))
        at += rng.expovariate(1 / pace)
    return faults


KINDS = {
    'kill router': 2.0,
    'kill all routers': 1.0,
    'stop router': 1.5,
    'freeze router': 2.0,
    'reload router': 0.5,
    'kill engine': 2.0,
    'freeze engine': 1.0,
    'engines': 3.0,
    'all engines': 4.0,
    'freeze store': 1.0,
    'store': 2.0,
    'cut router': 1.5,
    'cut zone': 1.0,
    'links': 2.5,
    'reset links': 2.0,
    'poison': 1.0,
}
"""Kinds of faults, and how often each comes against the others."""
DECEIT = 'lying engines'
LIMITED = 'limited engines'
ALL_KINDS = {**KINDS, DECEIT: 4.0, LIMITED: 4.0}
"""With those that a soak has only when it names them, so that the days of
earlier seeds stay as they were."""
DECEITS = ('twice', 'drip', 'stall')
PLANNED = frozenset(('stop router', 'reload router'))
"""Planned work, in which no request may be lost."""


def _draw_one(
    site: Site, kind: str, at: float, longest: float, rng: random.Random
) -> Fault:
    routers = [router.name for router in site.routers]
    engines = [engine.name for engine in site.engines]
    targets: tuple[str, ...] = ()
    mode, part = '', 0.0
    seconds = rng.uniform(0.5, 6)
    if kind in {'kill router', 'freeze router', 'cut router', 'links'}:
        targets = tuple(rng.sample(routers, rng.randint(1, 2)))
    elif kind in {'stop router', 'reload router'}:
        targets = (rng.choice(routers),)
    elif kind in {'kill all routers', 'reset links'}:
        targets = tuple(routers)
    elif kind in {'kill engine', 'freeze engine', 'engines'}:
        targets = tuple(rng.sample(engines, max(1, len(engines) // 4)))
    elif kind == 'all engines':
        service = rng.choice(SERVICES)
        targets = tuple(
            engine.name for engine in site.engines if engine.service == service
        )
    elif kind == 'cut zone':
        zone = rng.choice(ZONES)
        targets = tuple(
            router.name for router in site.routers if router.zone == zone
        )
    if kind == DECEIT:
        targets = tuple(rng.sample(engines, len(engines) // 2))
        mode = rng.choice(DECEITS)
        part = rng.uniform(0.3, 1)
        seconds = rng.uniform(4, 10)
    elif kind == LIMITED:
        targets = tuple(rng.sample(engines, len(engines) // 2))
        mode, part = 'limit', 1.0
        seconds = rng.uniform(8, 16)
    elif kind in {'engines', 'all engines'}:
        mode = rng.choice(
            ('reset', 'shed', 'errors', 'hang', 'lose', 'slow', 'cut')
        )
        part = rng.uniform(0.3, 1)
        seconds = rng.uniform(4, 16)
    elif kind == 'store':
        mode = rng.choice(('refuse', 'lapse', 'slow', 'lose', 'silent'))
    elif kind == 'links':
        mode = rng.choice(('no requests', 'no answers', 'slow'))
    elif kind == 'cut zone':
        seconds = rng.uniform(3, 15)
    elif kind == 'stop router':
        seconds = GRACE_SECONDS
    return Fault(at, kind, min(seconds, longest), targets, mode, part)
