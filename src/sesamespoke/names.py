"""Short forms of the document's names on peer streams.

Names of accounts, slices and endpoints make up most of a small message. Both
ends know the document, so a name travels as its number in the sorted list
of all names, together with a digest of that list. A list is used only once
it has been in force for a while, and several past ones are understood; a
receiver that does not know a list skips the message, and the reports that
compare counts then repair what was lost.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

import msgpack
import xxhash

from sesamespoke.placement import slice_of
from sesamespoke.world import Document

AGE_SECONDS: Final = 10.0
MAX_TABLES: Final = 8
DIGEST_BITS: Final = 16
INDEX_BYTES: Final = 4
MAX_EXT_CODE: Final = 127

NO_NAMES: Mapping[str, msgpack.ExtType] = MappingProxyType({})


class UnknownName:
    """A sentinel for a number of a list that is not known here."""


@dataclass(frozen=True, slots=True)
class NameTable:
    """One list of names, both ways."""

    code: int
    digest: int
    shorten: Mapping[str, msgpack.ExtType]
    names: tuple[str, ...]


def build_table(document: Document) -> NameTable:
    """Return the table of a document's names."""
    names: set[str] = set(document.accounts)
    for service_name, service in document.services.items():
        names.update(service.endpoints)
        names.update(
            slice_of(service_name, site) for site in document.data_centres
        )
    listed = tuple(sorted(names))
    identity = xxhash.xxh32_intdigest('\n'.join(listed).encode())
    code = identity % MAX_EXT_CODE + 1
    digest = identity >> DIGEST_BITS
    shorten = {
        name: msgpack.ExtType(code, _pack_number(digest, index))
        for index, name in enumerate(listed)
        if index >> DIGEST_BITS == 0
    }
    return NameTable(code, digest, MappingProxyType(shorten), listed)


class NameTables:
    """The tables that this host uses and understands."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Know none; ``clock`` is the running loop's by default."""
        self._clock = clock
        self._tables: OrderedDict[tuple[int, int], NameTable] = OrderedDict()
        self._used: NameTable | None = None
        self._next: NameTable | None = None
        self._next_at: float = 0

    def put_in_force(self, document: Document) -> None:
        """Understand a document's names at once, and use them later."""
        table = build_table(document)
        key = (table.code, table.digest)
        if key in self._tables:
            return
        self._tables[key] = table
        self._next = table
        self._next_at = self._now() + AGE_SECONDS
        while len(self._tables) > MAX_TABLES:
            self._tables.popitem(last=False)

    def shorten(self) -> Mapping[str, msgpack.ExtType]:
        """Return the short forms to send now."""
        if self._next is not None and self._now() >= self._next_at:
            self._used = self._next
            self._next = None
        return self._used.shorten if self._used else NO_NAMES

    def lengthen(self, code: int, number: bytes) -> Any:
        """Return the name of a short form, or ``UnknownName``."""
        digest, index = _unpack_number(number)
        table = self._tables.get((code, digest))
        if table is None or index >= len(table.names):
            return UnknownName
        return table.names[index]

    def _now(self) -> float:
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time()


def shorten_record(
    record: tuple[Any, ...],
    shorten: Mapping[str, msgpack.ExtType],
) -> tuple[Any, ...]:
    """Return a message's fields with known names in their short form."""
    return tuple(_shorten_part(part, shorten) for part in record)


def _shorten_part(part: Any, shorten: Mapping[str, msgpack.ExtType]) -> Any:
    if isinstance(part, str):
        return shorten.get(part, part)
    if isinstance(part, tuple):
        return shorten_record(part, shorten)
    return part


def _pack_number(digest: int, index: int) -> bytes:
    return (digest << DIGEST_BITS | index).to_bytes(INDEX_BYTES)


def _unpack_number(number: bytes) -> tuple[int, int]:
    joined = int.from_bytes(number[:INDEX_BYTES])
    return joined >> DIGEST_BITS, joined & (1 << DIGEST_BITS) - 1
