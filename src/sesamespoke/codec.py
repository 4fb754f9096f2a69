"""The encoding of messages on peer streams: consecutive msgpack arrays.

Each message is ``[type code, field, ...]`` with the fields in the order of
its class. Codes are never reused; a class whose fields change gets a new
code, so that hosts of two versions can talk.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields
from itertools import product
from operator import attrgetter, itemgetter
from types import MappingProxyType
from typing import Any, Final, TypeAlias, get_args, get_type_hints

import msgpack

from sesamespoke import (
    crash_messages,
    ledger_messages,
    membership_messages,
    routing_messages,
)
from sesamespoke import messages as msg
from sesamespoke.names import (
    INDEX_BYTES,
    NO_NAMES,
    NameTables,
    shorten_record,
)

MAX_FRAME_BYTES: Final = 2_097_152
MAX_ROWS: Final = 16_384
READ_AHEAD_BYTES: Final = 16_384
"""The buffer that each stream's decoder begins with; longer frames grow it.
The library's own start of 1 MB is filled in turn, however short the frames
are, so that a host would hold 1 MB for each peer."""

CODES: Mapping[int, type[msg.Message]] = MappingProxyType(
    {
        1: msg.Hello,
        2: msg.Heartbeat,
        3: msg.Demand,
        4: msg.Grants,
        5: msg.Finished,
        6: msg.InFlightQuery,
        7: msg.InFlight,
        9: ledger_messages.SettledCounts,
        10: ledger_messages.SiteCounts,
        20: ledger_messages.FleetCounts,
        21: msg.RevisionQuery,
        22: msg.RevisionTold,
        12: msg.ClaimReply,
        13: msg.Suspect,
        14: ledger_messages.VirtualTimes,
        15: ledger_messages.VirtualTimesQuery,
        30: membership_messages.Probe,
        31: membership_messages.MemberSilent,
        32: membership_messages.DataCentreView,
        33: membership_messages.RouteLost,
        34: membership_messages.Relay,
        35: membership_messages.Spread,
        16: msg.DocumentRequest,
        17: msg.DocumentRoot,
        18: msg.DocumentPart,
        19: msg.ClaimRequest,
        40: routing_messages.RouterLoads,
        42: routing_messages.SiteLoads,
        43: routing_messages.EndpointLeaves,
        45: routing_messages.OperatorEntries,
        48: routing_messages.EndpointLimit,
        49: routing_messages.EndpointList,
        46: routing_messages.ConfigRequest,
        47: routing_messages.ConfigCopy,
        56: routing_messages.RolloutAnswers,
        57: routing_messages.RolloutStage,
        58: routing_messages.EndpointAnswers,
        59: routing_messages.EndpointTrial,
        50: crash_messages.EndpointCrash,
        51: crash_messages.PartsCleared,
        52: crash_messages.PartsTrial,
        53: crash_messages.RequestsBroken,
        54: crash_messages.RequestCleared,
        55: crash_messages.RequestTrial,
    },
)

_Check: TypeAlias = Callable[[Any], bool]
_Types: TypeAlias = tuple[type, ...]


@dataclass(frozen=True, slots=True)
class BadFrame:
    """Bytes that are no message; the stream can't be read any further."""

    reason: str


@dataclass(frozen=True, slots=True)
class Skipped:
    """A message of a newer version, whose code is unknown here."""

    code: int


@dataclass(frozen=True, slots=True)
class _Shape:
    """How one class is built and what its fields must look like."""

    build: Callable[..., msg.Message]
    accepts: _Check


def _types_of(hint: Any) -> _Types:
    """Return the types that a field of this hint may arrive with."""
    if hint is float:
        return (float, int)
    return (
        (hint,) if isinstance(hint, type) and not get_args(hint) else (tuple,)
    )


def _finite_columns(hints: _Types) -> tuple[Callable[[Any], Any], ...]:
    """Return a getter for each column that holds floats."""
    return tuple(
        itemgetter(index) for index, hint in enumerate(hints) if hint is float
    )


def _check_record(hints: _Types) -> _Check:
    """Return a check of one row of fields."""
    shapes = frozenset(product(*map(_types_of, hints)))
    floats = _finite_columns(hints)
    nested = tuple(
        (index, _check_rows(get_args(hint)[0]))
        for index, hint in enumerate(hints)
        if get_args(hint)
    )

    def check(record: Any) -> bool:
        return (
            tuple(map(type, record)) in shapes
            and all(math.isfinite(column(record)) for column in floats)
            and all(accepts(record[index]) for index, accepts in nested)
        )

    return check


def _check_rows(hint: Any) -> _Check:
    """Return a check of any number of equal rows or scalars."""
    if not get_args(hint):
        scalars = frozenset(_types_of(hint))
        return lambda column: scalars.issuperset(map(type, column))
    hints = get_args(hint)
    shapes = frozenset(product(*map(_types_of, hints)))
    floats = _finite_columns(hints)
    rows_only = frozenset((tuple,))

    def check(rows: Any) -> bool:
        return (
            rows_only.issuperset(map(type, rows))
            and shapes.issuperset({tuple(map(type, row)) for row in rows})
            and all(
                all(map(math.isfinite, map(column, rows))) for column in floats
            )
        )

    return check


def _shape_of(kind: type[msg.Message]) -> _Shape:
    """Compile the check of one message class from its annotations."""
    hints = get_type_hints(kind)
    return _Shape(kind, _check_record(tuple(hints.values())))


def _read_fields(kind: type[msg.Message]) -> Callable[[Any], Any]:
    """Return a function from a message to the tuple of its fields."""
    names = [member.name for member in fields(kind)]
    if len(names) == 1:
        read = attrgetter(names[0])
        return lambda message: (read(message),)
    return attrgetter(*names)


_SHAPES = MappingProxyType(
    {code: _shape_of(kind) for code, kind in CODES.items()},
)
_WRITERS = MappingProxyType(
    {kind: (code, _read_fields(kind)) for code, kind in CODES.items()},
)


def encode(
    message: msg.Message,
    shorten: Mapping[str, msgpack.ExtType] = NO_NAMES,
) -> bytes:
    """Return the bytes of one message, with names shortened.

    Raises ``ValueError`` for one that no peer would accept: senders split
    long lists of rows.
    """
    code, read = _WRITERS[type(message)]
    record = read(message)
    if shorten:
        record = shorten_record(record, shorten)
    frame: bytes = msgpack.packb((code, *record))
    if len(frame) > MAX_ROWS:
        _check_size(record, len(frame))
    return frame


def _check_size(record: tuple[Any, ...], length: int) -> None:
    """Raise ``ValueError`` for what a decoder's bounds refuse."""
    too_many = any(
        isinstance(part, tuple) and len(part) > MAX_ROWS for part in record
    )
    if too_many or length > MAX_FRAME_BYTES:
        raise ValueError(f'too long a message: {length} bytes')


class _NameReader:
    """Lengthens the names of one stream, and notes those not known here."""

    def __init__(self, names: NameTables | None) -> None:
        """Start without an unknown name."""
        self._names = names
        self._has_unknown = False

    def lengthen(self, code: int, number: bytes) -> Any:
        """Return the name that a number stands for; None if not known."""
        name = self._names.lengthen(code, number) if self._names else None
        self._has_unknown = self._has_unknown or not isinstance(name, str)
        return name

    def read(self, frame: Any) -> msg.Message | Skipped | BadFrame:
        """Skip a message with names that are not known here."""
        if self._has_unknown and isinstance(frame, tuple):
            self._has_unknown = False
            return Skipped(0)
        return _read_frame(frame)


_BOUNDS = MappingProxyType(
    {
        'use_list': False,
        'max_array_len': MAX_ROWS,
        'max_map_len': 0,
    }
)
_UNREADABLE: Final = (ValueError, RecursionError, msgpack.StackError)


class Decoder:
    """Cuts a stream of bytes into messages, in bounded memory."""

    def __init__(self, names: NameTables | None = None) -> None:
        """Start at the beginning of a stream; ``names`` lengthens names."""
        self._names = _NameReader(names)
        self._unpacker = msgpack.Unpacker(
            read_size=READ_AHEAD_BYTES,
            max_buffer_size=MAX_FRAME_BYTES,
            max_ext_len=INDEX_BYTES if names else 0,
            ext_hook=self._names.lengthen,
            **_BOUNDS,
        )
        self._unread = 0

    def feed(
        self,
        chunk: bytes,
    ) -> Iterator[msg.Message | Skipped | BadFrame]:
        """Yield what the chunk completes; after ``BadFrame``, no more."""
        self._unread += len(chunk)
        if self._unread > MAX_FRAME_BYTES:
            yield BadFrame('too long')
            return
        self._unpacker.feed(chunk)
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except _UNREADABLE as exc:
                yield BadFrame(type(exc).__name__)
                return
            self._unread = 0
            part = self._names.read(frame)
            yield part
            if isinstance(part, BadFrame):
                return


def decode(
    payload: bytes,
    names: NameTables | None = None,
) -> msg.Message | Skipped | BadFrame:
    """Return the one message that these bytes hold."""
    reader = _NameReader(names)
    try:
        frame = msgpack.unpackb(
            payload,
            max_ext_len=INDEX_BYTES if names else 0,
            ext_hook=reader.lengthen,
            **_BOUNDS,
        )
    except _UNREADABLE as exc:
        return BadFrame(type(exc).__name__)
    return reader.read(frame)


def _read_frame(frame: Any) -> msg.Message | Skipped | BadFrame:
    """Check one unpacked value and build its message."""
    if not isinstance(frame, tuple) or not frame:
        return BadFrame('no array')
    code = frame[0]
    if not isinstance(code, int):
        return BadFrame('no type code')
    shape = _SHAPES.get(code)
    if shape is None:
        return Skipped(code)
    if not shape.accepts(frame[1:]):
        return BadFrame('wrong fields')
    return shape.build(*frame[1:])
