"""Reads the log lines of routers, as they are written or as collected.

A collector may put a time in seconds and a host's name before each line.
"""

import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any, Final, Protocol

MAX_LINE_CHARACTERS: Final = 262_144
"""A longer line is read in pieces, none of which is a whole line."""
MAX_NUMBER: Final = 1e15
"""Numbers from here on, and those that are none, are left out."""

_PREFIX: Final = re.compile(
    r'(?:^|\s)\s*(-?\d{1,12}(?:\.\d+)?)\s+(\S+)\s+(?=\{)'
)


class TextStream(Protocol):
    """A text that is read line by line."""

    def readline(self, size: int, /) -> str:
        """Return the next line, at most ``size`` characters of it."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a router; ``at`` is its time in seconds, if it has one."""

    at: float | None
    host: str
    fields: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Return what the line tells."""
        return self.text('event')

    def text(self, name: str) -> str:
        """Return a field's text, empty if there is none."""
        found = self.fields.get(name)
        return found if isinstance(found, str) else ''

    def number(self, name: str) -> float | None:
        """Return a field's number, None if there is none."""
        found = self.fields.get(name)
        if isinstance(found, bool) or not isinstance(found, int | float):
            return None
        return found if abs(found) < MAX_NUMBER else None


class Unreadable(Enum):
    """Why a line tells nothing."""

    CUT = 'begins as JSON and is none, or its prefix is lost'
    OTHER = 'no JSON'


def read_lines(stream: TextStream, name: str) -> Iterator[LogLine | Unreadable]:
    """Read one line after the other, without those that are empty.

    ``name`` stands for the host in lines that name none. The time before a
    line goes before that in it: the collector has one clock, hosts have many.
    A collector may write a line into the middle of another one, which is cut.
    After a line with a prefix, those without one have lost it.
    """
    collected = False
    while text := stream.readline(MAX_LINE_CHARACTERS):
        if not text.strip():
            continue
        line = parse_line(text, name)
        prefixed = _PREFIX.match(text) is not None
        if collected and not prefixed and isinstance(line, LogLine):
            line = Unreadable.CUT
        collected = collected or prefixed
        yield line
        if line is Unreadable.CUT:
            inner = _PREFIX.search(text, text.find('{'))
            if inner:
                yield parse_line(text[inner.start() :], name)


def parse_line(text: str, name: str) -> LogLine | Unreadable:
    """Return a line, or why it cannot be read."""
    prefix = _PREFIX.match(text)
    start = prefix.end() if prefix else 0
    if not text[start:].lstrip().startswith('{'):
        return Unreadable.OTHER
    try:
        fields = json.loads(text[start:])
    except (ValueError, RecursionError):
        return Unreadable.CUT
    if prefix:
        return LogLine(float(prefix[1]), prefix[2], fields)
    host = fields.get('host')
    return LogLine(
        _read_time(fields.get('timestamp')),
        host if isinstance(host, str) else name,
        fields,
    )


def _read_time(stamp: object) -> float | None:
    """Return a time stamp in seconds since 1970."""
    if not isinstance(stamp, str):
        return None
    try:
        return datetime.fromisoformat(stamp).timestamp()
    except (ValueError, OverflowError):
        return None
