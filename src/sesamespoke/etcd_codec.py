"""Keys, values and messages in the form of etcd v3's JSON gateway."""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from sesamespoke.store import Absent, Delete, Entry, Expect, Put

Reply = dict[str, Any]


def encode(raw: bytes) -> str:
    """Return bytes in base64."""
    return base64.b64encode(raw).decode()


def end_of_prefix(prefix: bytes) -> bytes:
    """Return the first key after all keys that begin with a prefix."""
    head = prefix.rstrip(b'\xff')
    if not head:
        return b'\0'
    last = head[-1] + 1
    return bytes((*head[:-1], last))


def revision_of(reply: Reply) -> int:
    """Return the store's revision from a reply's header."""
    return int(reply['header']['revision'])


@dataclass(frozen=True, slots=True)
class Codec:
    """Translates between the port's classes and messages below a prefix."""

    prefix: str

    def key(self, key: str) -> str:
        """Return a key as it is sent."""
        return encode((self.prefix + key).encode())

    def range(self, prefix: str) -> Reply:
        """Return the range of all keys that begin with a prefix."""
        first = (self.prefix + prefix).encode()
        return {
            'key': encode(first),
            'range_end': encode(end_of_prefix(first)),
        }

    def transaction(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Reply:
        """Return a transaction that reads what stands if it fails."""
        return {
            'compare': [self._compare(expect) for expect in expected],
            'success': [self._change(change) for change in puts],
            'failure': [
                {'requestRange': {'key': self.key(expect.key)}}
                for expect in expected
            ],
        }

    def conflict(
        self,
        expected: Sequence[Expect],
        reply: Reply,
    ) -> tuple[Entry | Absent, ...]:
        """Return what a failed transaction found, in order."""
        pairs = zip(expected, reply['responses'], strict=True)
        revision = revision_of(reply)
        return tuple(
            self.found(expect.key, response['response_range'], revision)
            for expect, response in pairs
        )

    def entry(self, record: Reply) -> Entry:
        """Return a record of the store as an entry."""
        key = base64.b64decode(record['key']).decode()
        content = base64.b64decode(record.get('value', ''))
        name = key.removeprefix(self.prefix)
        return Entry(name, content, int(record['mod_revision']))

    def entries(self, reply: Reply) -> tuple[Entry, ...]:
        """Return all records of a range."""
        return tuple(self.entry(record) for record in reply.get('kvs', ()))

    def found(self, key: str, reply: Reply, revision: int) -> Entry | Absent:
        """Return the single record of a range, if any."""
        records = reply.get('kvs')
        return self.entry(records[0]) if records else Absent(key, revision)

    def _compare(self, expect: Expect) -> Reply:
        return {
            'key': self.key(expect.key),
            'target': 'MOD',
            'result': 'EQUAL',
            'modRevision': str(expect.revision),
        }

    def _change(self, change: Put | Delete) -> Reply:
        key = self.key(change.key)
        if isinstance(change, Delete):
            wanted = (
                self.range(change.key) if change.is_prefix else {'key': key}
            )
            return {'requestDeleteRange': wanted}
        put = {
            'key': key,
            'value': encode(change.content),
            'lease': str(change.lease),
        }
        return {'requestPut': put}
