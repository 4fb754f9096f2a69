"""What the store keeps of a claimed idempotency key, and its names.

A key's record stands below the number of the period in which it was
claimed, so that whole periods can be deleted.
"""

import hashlib
from dataclasses import astuple, dataclass, replace
from enum import IntEnum
from typing import Final

import msgpack

NAMESPACE: Final = 'claims/'
PERIOD_KEY: Final = 'claims/period'
NAME_BYTES: Final = 16
PARTITION_DIGITS: Final = 8
PERIOD_DIGITS: Final = 8

HeaderRows = tuple[tuple[str, str], ...]


class Mark(IntEnum):
    """How far a claimed call has come."""

    CLAIMED = 1
    RAN = 2
    MAY_HAVE_RUN = 3
    RELEASED = 4


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim, or what it came to.

    ``token`` is its holder's, ``digest`` the request's. ``remaining_ms`` is
    how long after the claim the call may be in progress. ``body`` is None
    where the answer was not kept.
    """

    mark: Mark
    token: str
    digest: bytes
    remaining_ms: int = 0
    status: int = 0
    headers: HeaderRows = ()
    body: bytes | None = None

    def encode(self) -> bytes:
        """Return the record's bytes."""
        packed: bytes = msgpack.packb(astuple(self))
        return packed


UNREADABLE = ClaimRecord(Mark.MAY_HAVE_RUN, '', b'')


def decode_record(packed: bytes) -> ClaimRecord:
    """Return a record; what cannot be read may have run."""
    try:
        record = ClaimRecord(*msgpack.unpackb(packed, use_list=False))
        return replace(record, mark=Mark(record.mark))
    except (ValueError, TypeError, msgpack.UnpackException):
        return UNREADABLE


@dataclass(frozen=True, slots=True)
class Grip:
    """Where a record stands: its key in the store and its revision."""

    key: str
    revision: int


def pack_grip(grip: Grip, token: str) -> bytes:
    """Return a grip's bytes, as the holder of a token is sent them."""
    packed: bytes = msgpack.packb((grip.key, grip.revision, token))
    return packed


def unpack_grip(packed: bytes) -> tuple[Grip, str]:
    """Return a grip and its holder's token from their bytes."""
    key, revision, token = msgpack.unpackb(packed)
    return Grip(key, revision), token


@dataclass(frozen=True, slots=True)
class Standing:
    """A record that stands in the store."""

    record: ClaimRecord
    grip: Grip


def name_claim(account: str, key: str) -> str:
    """Return the name of an account's idempotency key."""
    text = f'{account}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=NAME_BYTES).hexdigest()


def partition_of(name: str, partitions: int) -> int:
    """Return which of the claim writers handles a name."""
    return int(name[:PARTITION_DIGITS], 16) % partitions


def period_prefix(period: int) -> str:
    """Return the prefix of all keys of a period."""
    digits = str(period).zfill(PERIOD_DIGITS)
    return f'{NAMESPACE}{digits}/'


def name_in(key: str) -> str:
    """Return the name that a key of the store holds."""
    return key.rpartition('/')[2]


def store_key(period: int, name: str) -> str:
    """Return the key of a name in a period."""
    return period_prefix(period) + name
