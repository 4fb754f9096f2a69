"""Small edits of a section's text that keep the rest as written."""

from sesamespoke import json_lines, jsonc

_MARK = '// revision '


def mark_revision(text: str, revision: int) -> str:
    """Return a text that begins with the revision that it was read from."""
    return f'{_MARK}{revision}\n{text}'


def take_mark(text: str) -> tuple[int | None, str]:
    """Return the marked revision, if any, and the text without the mark."""
    first, _, rest = text.partition('\n')
    number = first.removeprefix(_MARK).strip()
    if first.startswith(_MARK) and number.isdecimal():
        return int(number), rest
    return None, text


def set_in_service(text: str, name: str, *, in_service: bool) -> str | None:
    """Return the data centres' text with one of them in or out of service.

    None if there is no such data centre or the text is no JSON object.
    """
    parsed = jsonc.parse_jsonc(text)
    if isinstance(parsed, jsonc.SyntaxProblem):
        return None
    found = parsed.value.get(name) if isinstance(parsed.value, dict) else None
    if not isinstance(found, dict):
        return None
    members = json_lines.find_members(parsed.plain)
    member = next(one for one in members if one.name == name)
    word = 'true' if in_service else 'false'
    if 'in_service' in found:
        start, end = _find_value(parsed.plain, member)
        return ''.join((text[:start], word, text[end:]))
    behind = member.value_start + 1
    comma = ', ' if found else ''
    added = f'"in_service": {word}{comma}'
    return ''.join((text[:behind], added, text[behind:]))


def _find_value(plain: str, member: json_lines.Member) -> tuple[int, int]:
    inner = plain[member.value_start : member.value_end]
    flag = next(
        one
        for one in json_lines.find_members(inner)
        if one.name == 'in_service'
    )
    offset = member.value_start
    return offset + flag.value_start, offset + flag.value_end
