"""Fields of JSON and headers that others wrote, checked before they are used.

What can't be used raises one of ``MALFORMED``, so that its reader can refuse
the whole entry instead of failing later, at every request.
"""

import math
from collections.abc import Mapping
from typing import Any, Final

MALFORMED: Final = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What decoding an entry of another writer may raise."""
MAX_DIGITS: Final = 15
"""Numbers with more digits are not exact as floats."""

Fields = Mapping[str, Any]


def is_count(text: str) -> bool:
    """Return whether a text is a whole number of a usable size."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def read_decimal(text: str) -> float | None:
    """Return a decimal number of at least 0; None if it is not one."""
    number = text.strip()
    whole, _, fraction = number.partition('.')
    if not (is_count(whole) and is_count(fraction or '0')):
        return None
    return float(number)


def read_retry_after(text: str) -> float:
    """Return the seconds of a ``Retry-After`` header, with a fraction.

    Returns 0 for a date, a negative number and what can't be read.
    """
    return read_decimal(text) or 0


def is_finite(number: object) -> bool:
    """Return whether a decoded value is a number that can be used."""
    if isinstance(number, bool) or not isinstance(number, int | float):
        return False
    return math.isfinite(number)


def read_text(fields: Fields, key: str) -> str:
    """Return a text that must be there."""
    text = fields[key]
    if not isinstance(text, str) or not text:
        raise TypeError(f'{key} is no text')
    return text


def read_flag(fields: Fields, key: str) -> bool:
    """Return a flag; false if it is left out."""
    flag = fields.get(key)
    if flag is not None and not isinstance(flag, bool):
        raise TypeError(f'{key} is neither true nor false')
    return bool(flag)


def read_amount(fields: Fields, key: str, default: float) -> float:
    """Return a number that is not negative; the default if it is left out."""
    number = fields.get(key)
    if number is None:
        return default
    if not is_finite(number) or number < 0:
        raise ValueError(f'{key} is no number that can be used')
    return float(number)


def read_number(fields: Fields, key: str, default: float = 0) -> float:
    """Return what ``read_amount`` does, but the default for 0 as well."""
    return read_amount(fields, key, default) or default


def read_count(fields: Fields, key: str, default: int = 0) -> int:
    """Return a whole number that is not negative, as ``read_number`` does."""
    return int(read_number(fields, key, default))
