"""The configuration document: its sections' texts and their checked form.

Each section is kept as its owners wrote it, comments included. A whole
document is one object of the sections; the text of a section is its value
with the comments in front and those behind it on its last line.
"""

from collections.abc import Mapping
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from pydantic import TypeAdapter

from sesamespoke import json_lines, jsonc
from sesamespoke.constraints import Name
from sesamespoke.document_checks import check_references
from sesamespoke.problems import Problem, validate_text
from sesamespoke.world import (
    Account,
    Capacity,
    DataCentre,
    Document,
    Service,
)

SECTIONS = ('capacity', 'accounts', 'data_centres', 'services')

# Parsed sections that are kept, so that a change re-parses one section.
CACHED_SECTIONS = 8

_ADAPTERS: Mapping[str, TypeAdapter[Any]] = MappingProxyType(
    {
        'capacity': TypeAdapter(Capacity),
        'accounts': TypeAdapter(Mapping[Name, Account]),
        'data_centres': TypeAdapter(Mapping[Name, DataCentre]),
        'services': TypeAdapter(Mapping[Name, Service]),
    },
)


@lru_cache(maxsize=CACHED_SECTIONS)
def parse_section(section: str, text: str) -> Any:
    """Return a section's value, or a tuple of problems."""
    return validate_text(section, text, _ADAPTERS[section])


def check_document(
    sections: Mapping[str, str],
) -> Document | tuple[Problem, ...]:
    """Check a whole document; return it, or everything that is wrong."""
    problems = _check_names(sections)
    parsed: dict[str, Any] = {}
    for section in SECTIONS:
        if section not in sections:
            continue
        parsed[section] = parse_section(section, sections[section])
        if isinstance(parsed[section], tuple):
            problems.extend(parsed[section])
    if problems:
        return tuple(problems)
    document = Document(**parsed)
    return tuple(check_references(document, sections)) or document


def split_document(text: str) -> Mapping[str, str] | tuple[Problem, ...]:
    """Return the sections' texts as written in a whole document."""
    parsed = jsonc.parse_jsonc(text)
    if isinstance(parsed, jsonc.SyntaxProblem):
        found = (parsed.pointer, parsed.line, parsed.found, parsed.allowed)
        return (Problem('document', *found),)
    if not isinstance(parsed.value, dict):
        allowed = 'an object of sections'
        return (Problem('document', '', 1, 'no object', allowed),)
    problems = tuple(_check_names(parsed.value))
    return problems or _cut_sections(text, parsed)


def join_document(sections: Mapping[str, str]) -> str:
    """Return one text of the sections, in their usual order."""
    members = [
        _format_member(section, sections[section])
        for section in SECTIONS
        if section in sections
    ]
    return '\n'.join(['{', *members, '}', ''])


def _check_names(sections: Mapping[str, Any]) -> list[Problem]:
    known = ', '.join(SECTIONS)
    allowed = f'the sections {known}'
    problems = [
        Problem('document', f'/{name}', 1, 'an unknown section', allowed)
        for name in sections
        if name not in SECTIONS
    ]
    problems.extend(
        Problem('document', f'/{name}', 1, 'nothing', 'a section')
        for name in SECTIONS
        if name not in sections
    )
    return problems


def _cut_sections(text: str, parsed: jsonc.ParsedText) -> dict[str, str]:
    members = json_lines.find_members(parsed.plain)
    sections: dict[str, str] = {}
    start = parsed.plain.index('{') + 1
    for member in members:
        is_last = member is members[-1]
        comma = parsed.plain.find(',', member.value_end)
        behind = member.value_end if is_last else comma + 1
        end = _find_end(parsed.plain, behind, is_last=is_last)
        sections[member.name] = ''.join(
            (
                text[start : member.key_start].lstrip('\n'),
                text[member.value_start : member.value_end],
                text[member.value_end : end].replace(',', ' ', 1)
                if is_last
                else text[member.value_end : comma] + text[comma + 1 : end],
            ),
        ).rstrip()
        start = end
    return sections


def _find_end(plain: str, behind: int, *, is_last: bool) -> int:
    """Return where a section's text ends: its last line, or the document."""
    if is_last:
        return plain.rindex('}')
    line_end = plain.find('\n', behind)
    rest = plain[behind : line_end if line_end >= 0 else len(plain)]
    return behind if rest.strip() else behind + len(rest)


def _format_member(section: str, text: str) -> str:
    plain = jsonc.blank_comments(text)
    start = len(plain) - len(plain.lstrip())
    end = len(plain.rstrip())
    member = ('"', section, '": ', text[start:end], ',')
    return ''.join((text[:start], *member, text[end:]))
