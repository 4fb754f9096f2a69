"""Bounds on values that operators write, as annotations of their types.

Classes that carry them are plain data classes: whoever reads a file checks
it against them with pydantic, and a process that is given its values by
another part does not load it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Annotated, Any, Final

from annotated_types import Ge, Gt, Le

STRICT: Final = MappingProxyType({'extra': 'forbid', 'allow_inf_nan': False})
"""The ``__pydantic_config__`` of classes that operators write."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """A regular expression that a text must match."""

    regex: str

    def __get_pydantic_core_schema__(  # noqa: PLW3201 (pydantic's name)
        self,
        source: Any,
        handler: Callable[[Any], Mapping[str, Any]],
    ) -> dict[str, Any]:
        """Return the schema of a text with this pattern."""
        return {**handler(source), 'pattern': self.regex}


Positive = Annotated[float, Gt(0)]
NonNegative = Annotated[float, Ge(0)]
Ratio = Annotated[float, Ge(0), Le(1)]
Name = Annotated[str, Pattern('^[a-z0-9][a-z0-9._-]{0,62}$')]
