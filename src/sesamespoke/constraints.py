"""Bounds on values that operators write, as annotations of their types.

Classes that carry them are plain data classes: whoever reads a file checks
it against them with pydantic, and a process that is given its values by
another part does not load it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Annotated, Any, Final

STRICT: Final = MappingProxyType({'extra': 'forbid', 'allow_inf_nan': False})
"""The ``__pydantic_config__`` of classes that operators write."""


@dataclass(frozen=True, slots=True)
class Bound:
    """A key of pydantic's schema of a type, and its value."""

    key: str
    value: float | str

    def __get_pydantic_core_schema__(  # noqa: PLW3201 (pydantic's name)
        self,
        source: Any,
        handler: Callable[[Any], Mapping[str, Any]],
    ) -> dict[str, Any]:
        """Return the schema of the type within this bound."""
        return {**handler(source), self.key: self.value}


def above(value: float) -> Bound:
    """Return the bound of numbers that are greater."""
    return Bound('gt', value)


def at_least(value: float) -> Bound:
    """Return the bound of numbers that are not less."""
    return Bound('ge', value)


def at_most(value: float) -> Bound:
    """Return the bound of numbers that are not greater."""
    return Bound('le', value)


def matching(pattern: str) -> Bound:
    """Return the bound of texts that a regular expression matches."""
    return Bound('pattern', pattern)


Positive = Annotated[float, above(0)]
NonNegative = Annotated[float, at_least(0)]
Ratio = Annotated[float, at_least(0), at_most(1)]
Name = Annotated[str, matching('^[a-z0-9][a-z0-9._-]{0,62}$')]
