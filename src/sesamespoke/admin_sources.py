"""What the administration API shows of the router's other parts."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from sesamespoke.timeline import Event, Stamp

Row = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class AdminSources:
    """Plain functions of the parts; rows are ready to be written as JSON.

    ``status`` adds members to the host's status, such as its roles;
    ``release`` takes a request's digest out of the quarantine and tells
    whether it was there.
    """

    status: Callable[[], Row]
    accounts: Callable[[], list[Row]]
    endpoints: Callable[[], list[Row]]
    quarantine: Callable[[], list[Row]]
    release: Callable[[bytes], bool]
    events: Callable[[Stamp], Iterable[Event]]
    scrape: Callable[[], bytes]
    ready: Callable[[], bool]
