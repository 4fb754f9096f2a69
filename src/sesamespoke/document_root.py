"""The root of a revision: which chunks make up each section, and by whom.

The root is the one key whose compare-and-swap accepts a change. It also
remembers the latest change ids, so that a change that is sent again after
a lost reply is recognised.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import msgpack
from pydantic import ConfigDict, TypeAdapter, ValidationError

MAX_RECENT_CHANGES = 64


@dataclass(frozen=True, slots=True)
class SectionRef:
    """A section's chunks, and the revision and author that set them."""

    digests: tuple[bytes, ...]
    revision: int
    author: str


@dataclass(frozen=True, slots=True)
class RecentChange:
    """An accepted change: its id, its content's digest, its revision."""

    change_id: str
    digest: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Root:
    """One accepted revision of the document.

    ``parent`` is the revision that it was made from and ``accepted_at``
    the wall clock's seconds, for people; nothing is decided by it.
    """

    __pydantic_config__ = ConfigDict(extra='forbid')

    revision: int
    parent: int
    author: str
    accepted_at: float
    sections: Mapping[str, SectionRef]
    recent: tuple[RecentChange, ...] = field(default=())

    def digests(self) -> frozenset[bytes]:
        """Return the digests of all chunks."""
        return frozenset(
            digest
            for section in self.sections.values()
            for digest in section.digests
        )

    def find_change(self, change_id: str) -> RecentChange | None:
        """Return a recent change by its id."""
        for change in self.recent:
            if change.change_id == change_id:
                return change
        return None


_ADAPTER = TypeAdapter(Root)


def encode_root(root: Root) -> bytes:
    """Return a root as bytes."""
    packed: bytes = msgpack.packb(asdict(root))
    return packed


def decode_root(content: bytes) -> Root | None:
    """Return the root in some bytes, or None if there is none."""
    try:
        return _ADAPTER.validate_python(msgpack.unpackb(content))
    except (ValueError, ValidationError, msgpack.UnpackException):
        return None
