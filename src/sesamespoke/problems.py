"""Problems found in a text of settings or configuration.

A problem names the value's path and line, what was found and what is
allowed, so that an operator can mend it without reading this code.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from sesamespoke import json_lines, jsonc

MAX_FOUND_LENGTH = 80

ValueT = TypeVar('ValueT')


@dataclass(frozen=True, slots=True)
class Problem:
    """One value that can't be accepted; ``section`` may be a file's name."""

    section: str
    path: str
    line: int
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for operators."""
        path = self.path or '/'
        parts = (
            f'{self.section}:{self.line}',
            path,
            f'found {self.found}, allowed {self.allowed}',
        )
        return ': '.join(parts)


_ALLOWED: Mapping[str, str] = MappingProxyType(
    {
        'missing': 'a value; this key is required',
        'unexpected_keyword_argument': 'only the known keys',
        'dataclass_type': 'an object',
        'mapping_type': 'an object',
        'dict_type': 'an object',
        'tuple_type': 'a list',
        'string_type': 'a string',
        'int_type': 'a whole number',
        'int_from_float': 'a whole number',
        'float_type': 'a number',
        'finite_number': 'a finite number',
        'bool_type': 'true or false',
        'enum': 'one of {expected}',
        'greater_than': 'above {gt:g}',
        'greater_than_equal': 'at least {ge:g}',
        'less_than': 'below {lt:g}',
        'less_than_equal': 'at most {le:g}',
        'string_pattern_mismatch': 'a match of {pattern}',
    },
)


def validate_text(
    section: str,
    text: str,
    adapter: TypeAdapter[ValueT],
) -> ValueT | tuple[Problem, ...]:
    """Parse and validate a text, returning all problems at once."""
    parsed = jsonc.parse_jsonc(text)
    if isinstance(parsed, jsonc.SyntaxProblem):
        return (_from_syntax(section, parsed),)
    try:
        return adapter.validate_json(parsed.plain, strict=True)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=True)
    lines = json_lines.LineMap(parsed.plain)
    return tuple(_from_error(section, error, lines) for error in errors)


def _from_syntax(section: str, problem: jsonc.SyntaxProblem) -> Problem:
    return Problem(
        section,
        problem.pointer,
        problem.line,
        problem.found,
        problem.allowed,
    )


def _from_error(
    section: str,
    error: ErrorDetails,
    lines: json_lines.LineMap,
) -> Problem:
    steps = [step for step in error['loc'] if step != '[key]']
    return Problem(
        section,
        json_lines.format_pointer(steps),
        lines.find(steps),
        _show_found(error),
        _show_allowed(error),
    )


def _show_found(error: ErrorDetails) -> str:
    if error['type'] == 'missing':
        return 'nothing'
    if error['type'] == 'unexpected_keyword_argument':
        return 'an unknown key'
    return show_value(error['input'])


def _show_allowed(error: ErrorDetails) -> str:
    context: dict[str, Any] = error.get('ctx', {})
    pattern = _ALLOWED.get(error['type'])
    if pattern is None:
        return error['msg']
    return pattern.format(**context)


def show_value(found: object) -> str:
    """Return a value as JSON, cut to a length that fits a message."""
    return shorten(json.dumps(found, ensure_ascii=False, default=repr))


def shorten(text: str) -> str:
    """Return a text cut to a length that fits a message."""
    if len(text) <= MAX_FOUND_LENGTH:
        return text
    return ''.join((text[:MAX_FOUND_LENGTH], '…'))
