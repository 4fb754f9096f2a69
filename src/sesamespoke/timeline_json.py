"""Events of the time line as lines of JSON, for both ends of the API.

A line is ``{"wall_ms", "tick", "host", "data_centre", "kind", "facts"}``.
"""

import json
import re
from typing import Final

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from sesamespoke.timeline import Event, Fact, Stamp

MAX_LINE_BYTES: Final = 65_536


@dataclass(frozen=True, config=ConfigDict(strict=True))
class _Line:
    """The members of a line."""

    wall_ms: int
    tick: int
    host: str
    data_centre: str
    kind: str
    facts: dict[str, Fact]


_LINE = TypeAdapter(_Line)
_STAMP = re.compile(r'(\d{1,15})\.(\d{1,10})')


@dataclass(frozen=True)
class BadLine:
    """A line that is no event."""

    reason: str


def format_stamp(stamp: Stamp) -> str:
    """Return a stamp as the ``after`` argument takes it."""
    return f'{stamp.wall_ms}.{stamp.tick}'


def parse_stamp(text: str) -> Stamp | None:
    """Read ``WALL.TICK``; return None where it is anything else."""
    found = _STAMP.fullmatch(text)
    if found is None:
        return None
    wall_ms, tick = found.groups()
    return Stamp(int(wall_ms), int(tick))


def dump_event(event: Event) -> str:
    """Return an event as one line, without its end."""
    return json.dumps(
        {
            'wall_ms': event.stamp.wall_ms,
            'tick': event.stamp.tick,
            'host': event.host,
            'data_centre': event.data_centre,
            'kind': event.kind,
            'facts': event.facts,
        },
        separators=(',', ':'),
    )


def load_event(line: str | bytes) -> Event | BadLine:
    """Read one line."""
    if len(line) > MAX_LINE_BYTES:
        return BadLine('too long')
    try:
        row = _LINE.validate_json(line)
    except ValidationError:
        return BadLine('no event')
    stamp = Stamp(row.wall_ms, row.tick)
    return Event(stamp, row.host, row.data_centre, row.kind, row.facts)
