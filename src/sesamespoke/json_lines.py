"""Where the values of a JSON text stand: members, pointers and lines.

Pointers are those of RFC 6901, without its escapes.
"""

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass

from json_source_map import handle, types

_SPACE = re.compile(r'[ \t\r\n]*')


@dataclass(frozen=True, slots=True)
class Member:
    """Where a member of the outermost object stands in the text."""

    name: str
    key_start: int
    value_start: int
    value_end: int


def find_members(plain: str) -> list[Member]:
    """Return the members of the outermost object of valid plain JSON."""
    decoder = json.JSONDecoder()
    members: list[Member] = []
    position = _skip_space(plain, 0) + 1
    while True:
        key_start = _skip_space(plain, position)
        if plain[key_start] == '}':
            return members
        name, key_end = decoder.raw_decode(plain, key_start)
        value_start = _skip_space(plain, _skip_space(plain, key_end) + 1)
        _, value_end = decoder.raw_decode(plain, value_start)
        members.append(Member(name, key_start, value_start, value_end))
        position = _skip_space(plain, value_end)
        position += plain[position] == ','


class LineMap:
    """The line of each value of a plain JSON text.

    Only members of the outermost object that are asked for are mapped,
    since mapping is slow and the text may be megabytes.
    """

    def __init__(self, plain: str) -> None:
        """Find the outermost members; the text must be valid JSON."""
        self._plain = plain
        self._members: dict[str, Member] = {}
        self._maps: dict[str, dict[str, int]] = {}
        if plain.lstrip().startswith('{'):
            members = find_members(plain)
            self._members = {member.name: member for member in members}

    def find(self, steps: Sequence[str | int]) -> int:
        """Return the line of a value, or of its nearest ancestor."""
        member = self._members.get(str(steps[0])) if steps else None
        if member is None:
            return _line_of(self._plain, _skip_space(self._plain, 0))
        first_line = _line_of(self._plain, member.key_start)
        return first_line + self._find_below(member, steps[1:])

    def _find_below(self, member: Member, steps: Sequence[str | int]) -> int:
        lines = self._maps.get(member.name)
        if lines is None:
            lines = _map_lines(self._plain[member.key_start : member.value_end])
            self._maps[member.name] = lines
        for length in range(len(steps), 0, -1):
            line = lines.get(format_pointer([member.name, *steps[:length]]))
            if line is not None:
                return line
        return 0


def format_pointer(steps: Sequence[str | int]) -> str:
    """Return the steps to a value as ``/step/step``."""
    return ''.join(f'/{step}' for step in steps)


def find_duplicate(plain: str) -> tuple[str, int]:
    """Return the pointer and line of the second of two equal keys."""
    seen: set[str] = set()
    for pointer, entry in _list_entries(plain):
        if pointer in seen and entry.key_start is not None:
            return pointer, entry.key_start.line + 1
        seen.add(pointer)
    return '', 1


def _skip_space(plain: str, position: int) -> int:
    match = _SPACE.match(plain, position)
    return match.end() if match else position


def _line_of(plain: str, position: int) -> int:
    return plain.count('\n', 0, position) + 1


def _list_entries(plain: str) -> types.TSourceMapEntries:
    start = types.Location(0, 0, 0)
    return handle.value(source=plain, current_location=start)


def _map_lines(member_text: str) -> dict[str, int]:
    """Return the line, from 0, of each value of one member's text."""
    return {
        pointer: (entry.key_start or entry.value_start).line
        for pointer, entry in _list_entries(f'{{{member_text}}}')
    }
