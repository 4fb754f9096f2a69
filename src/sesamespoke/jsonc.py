"""JSON with comments: ``//`` and ``/* */`` comments and trailing commas.

Comments are blanked out in place, so that every offset and line number of
the plain JSON is also one of the text as written.
"""

import json
import re
from dataclasses import dataclass
from typing import Any

from sesamespoke import json_lines

JSONValue = Any

# Runs of text without comments or trailing commas are matched as a whole,
# since a call of Python for each string would cost most of the time.
_STRING = r'"(?:[^"\\\n]|\\.)*+"'
_NO_COMMENT = rf'(?:[^"/]++|{_STRING}|/(?![/*]))++'
_COMMENT = re.compile(
    rf'{_NO_COMMENT}|(//[^\n]*+|/\*.*?(?:\*/|\Z))',
    re.DOTALL,
)
_COMMA_AT_END = re.compile(r',\s*+[\]}]')
_NO_TRAILING_COMMA = rf'(?:[^",]++|{_STRING}|,(?!\s*+[\]}}]))++'
_TRAILING_COMMA = re.compile(rf'{_NO_TRAILING_COMMA}|(,)', re.DOTALL)
_CONSTANT = re.compile(rf'{_STRING}|(NaN|-?Infinity)', re.DOTALL)
_NOT_NEWLINE = re.compile(r'[^\n]')

_DEEP = 'less than a thousand levels'


@dataclass(frozen=True, slots=True)
class SyntaxProblem:
    """Why a text is not JSON with comments, and in which line."""

    line: int
    found: str
    allowed: str
    pointer: str = ''


@dataclass(frozen=True, slots=True)
class ParsedText:
    """A JSON value and the plain JSON text that it was read from."""

    value: JSONValue
    plain: str


class _DuplicateKeyError(ValueError):
    """Raised within this module when an object names a key twice."""


def blank_comments(text: str) -> str:
    """Return plain JSON of the same length, with comments blanked."""
    plain = _COMMENT.sub(_blank_match, text)
    if _COMMA_AT_END.search(plain) is None:
        return plain
    return _TRAILING_COMMA.sub(_blank_match, plain)


def parse_jsonc(text: str) -> ParsedText | SyntaxProblem:
    """Parse a text; never raises, whatever the text is."""
    plain = blank_comments(text)
    try:
        parsed = json.loads(
            plain,
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except ValueError as exc:
        return _describe_value_error(plain, exc)
    except RecursionError:
        return SyntaxProblem(1, 'too deep nesting', _DEEP)
    return ParsedText(parsed, plain)


def _blank_match(match: re.Match[str]) -> str:
    if match.group(1) is None:
        return match.group()
    return _NOT_NEWLINE.sub(' ', match.group())


def _build_object(pairs: list[tuple[str, JSONValue]]) -> dict[str, JSONValue]:
    built = dict(pairs)
    if len(built) == len(pairs):
        return built
    names = [name for name, _ in pairs]
    repeated = next(name for name in names if names.count(name) > 1)
    raise _DuplicateKeyError(repeated)


def _refuse_constant(name: str) -> JSONValue:
    raise ValueError(name)


def _describe_decode_error(
    plain: str,
    exc: json.JSONDecodeError,
) -> SyntaxProblem:
    found = plain[exc.pos : exc.pos + 20].split('\n')[0].strip()
    wanted = exc.msg.removeprefix('Expecting ')
    allowed = f'JSON ({wanted})' if wanted == exc.msg else wanted
    return SyntaxProblem(exc.lineno, found or 'the end of a line', allowed)


def _find_constant(plain: str) -> int:
    """Return the line of the first constant that JSON does not have."""
    for match in _CONSTANT.finditer(plain):
        if match.group(1) is not None:
            return plain.count('\n', 0, match.start()) + 1
    return 1


def _describe_value_error(plain: str, exc: ValueError) -> SyntaxProblem:
    if isinstance(exc, json.JSONDecodeError):
        return _describe_decode_error(plain, exc)
    if not isinstance(exc, _DuplicateKeyError):
        line = _find_constant(plain)
        return SyntaxProblem(line, str(exc), 'finite numbers of usual length')
    name = str(exc)
    pointer, line = json_lines.find_duplicate(plain)
    found = f'the key {name!r} twice'
    return SyntaxProblem(line, found, 'each key once in an object', pointer)
