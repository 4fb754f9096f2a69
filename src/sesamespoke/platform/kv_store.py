"""The platform's key-value store, by its HTTP calls.

Each call opens its own connection: one that has gone silent is then known
by its time-out alone, and no later call waits behind it.
"""

import asyncio
import base64
import json
from collections.abc import AsyncGenerator, Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from sesamespoke.ip_resolver import IpResolver
from sesamespoke.settings import Address
from sesamespoke.store import (
    Absent,
    Committed,
    Conflict,
    Delete,
    Entry,
    Expect,
    Lease,
    Put,
    StoreUnavailable,
)

MS_PER_SECOND = 1000
CONNECT_SECONDS = 0.5
"""The store is a few milliseconds away."""
ANSWER_SECONDS = 1.0
"""An answer takes some milliseconds, and more on the platform's bad days."""
PAUSE_SECONDS = 0.25
"""The pause before a store is asked again that did not answer."""
MAX_PARALLEL_CALLS = 10

OK = 200
NO_SUCH = 404
HISTORY_GONE = 410
CONDITION_FAILED = 412
REFUSED = frozenset((429, 503))

Page = tuple[tuple[Entry, ...], int]
Wait = Callable[[], float]
"""Returns for how many seconds the next watch waits for a change."""


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    content: dict[str, Any]


class KvStore:
    """A ``store.Store`` on the platform's service."""

    def __init__(self, address: Address) -> None:
        """Prepare a client; nothing is sent yet."""
        self._base = f'http://{address}'
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_PARALLEL_CALLS,
            resolver=IpResolver(),
        )

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        """Read one key."""
        reply = await self._call('GET', f'/v1/kv-key?{_query(key=key)}')
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == NO_SUCH:
            return Absent(key, _revision_of(reply.content))
        return _read_entry(reply.content) or _malformed()

    async def scan(self, prefix: str) -> tuple[Entry, ...] | StoreUnavailable:
        """Read every key that begins with a prefix."""
        listed = await self.scan_at(prefix)
        return listed if isinstance(listed, StoreUnavailable) else listed[0]

    async def transact(
        self,
        expected: Sequence[Expect],
        puts: Sequence[Put | Delete],
    ) -> Committed | Conflict | StoreUnavailable:
        """Apply all changes if every expectation holds, else none."""
        body = {
            'expected_revision': [
                {'key': row.key, 'revision': row.revision} for row in expected
            ],
            'puts': [_write_put(put) for put in puts if isinstance(put, Put)],
            'remove': [put.key for put in puts if isinstance(put, Delete)],
        }
        reply = await self._call('POST', '/v1/kv-txn', body)
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == OK:
            return Committed(_int_of(reply.content, 'revision'))
        if reply.status == CONDITION_FAILED:
            return Conflict(_read_entries(reply.content) or ())
        return StoreUnavailable(f'status {reply.status}')

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        """Ask for a lease of ``ttl`` seconds."""
        asked_at = asyncio.get_running_loop().time()
        body = {'ttl_ms': round(ttl * MS_PER_SECOND)}
        reply = await self._call('POST', '/v1/kv-lease', body)
        if isinstance(reply, StoreUnavailable):
            return reply
        number = _int_of(reply.content, 'lease')
        return _make_lease(number, reply, asked_at)

    async def renew_lease(
        self,
        lease: Lease,
    ) -> Lease | Absent | StoreUnavailable:
        """Extend a lease; ``Absent`` if it has lapsed."""
        asked_at = asyncio.get_running_loop().time()
        reply = await self._call('POST', f'/v1/kv-keep/{lease.number}', {})
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == NO_SUCH:
            return Absent('', 0)
        return _make_lease(lease.number, reply, asked_at)

    async def watch(
        self,
        prefix: str,
        wait: Wait,
        known: set[str],
    ) -> AsyncGenerator[Entry | Absent | StoreUnavailable]:
        """Yield what stands below a prefix, then each change of it.

        Where the history has a gap, all is read anew; those of the ``known``
        keys that have gone meanwhile are told as absent. The set is kept up
        to date, for the next watch of the same reader.
        """
        while True:
            listed = await self.scan_at(prefix)
            if isinstance(listed, StoreUnavailable):
                yield listed
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            entries, revision = listed
            for gone in known - {entry.key for entry in entries}:
                yield Absent(gone, revision)
                known.discard(gone)
            for found in entries:
                known.add(found.key)
                yield found
            async for change in self._changes(prefix, revision, wait):
                _note_change(known, change)
                yield change

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def _changes(
        self,
        prefix: str,
        revision: int,
        wait: Wait,
    ) -> AsyncGenerator[Entry | Absent | StoreUnavailable]:
        """Yield changes until the history has a gap or the store is away."""
        while True:
            seconds = wait()
            query = _query(
                prefix=prefix,
                after_revision=revision,
                wait_ms=round(seconds * MS_PER_SECOND),
            )
            path = f'/v1/kv-watch?{query}'
            reply = await self._call(
                'GET', path, timeout=seconds + ANSWER_SECONDS
            )
            if isinstance(reply, StoreUnavailable):
                yield reply
                await asyncio.sleep(PAUSE_SECONDS)
                return
            if reply.status != OK:
                return
            for event in reply.content.get('events', ()):
                change = _read_change(event)
                if change is not None:
                    yield change
            revision = max(revision, _revision_of(reply.content))

    async def scan_at(
        self,
        prefix: str,
        *,
        stale: bool = False,
    ) -> Page | StoreUnavailable:
        """Return all entries below a prefix, and the first page's revision.

        A ``stale`` read costs the store less and may be seconds old.
        """
        options = {'serializable': 1} if stale else {}
        entries: list[Entry] = []
        revision = 0
        after = ''
        while True:
            query = _query(prefix=prefix, **options, **_after(after))
            reply = await self._call('GET', f'/v1/kv-range?{query}')
            if isinstance(reply, StoreUnavailable):
                return reply
            if reply.status != OK:
                return StoreUnavailable(f'status {reply.status}')
            page = _read_entries(reply.content)
            revision = revision or _revision_of(reply.content)
            if page is None or not revision:
                return _malformed()
            entries.extend(page)
            if not page or not reply.content.get('has_more'):
                return tuple(entries), revision
            after = page[-1].key

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: float = ANSWER_SECONDS,
    ) -> _Reply | StoreUnavailable:
        """Make one call; a status that refuses it is an outage."""
        request = HTTPRequest(
            f'{self._base}{path}',
            method=method,
            body=None if body is None else json.dumps(body),
            headers={'Content-Type': 'application/json'} if body else None,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=timeout,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPError) as exc:
            return StoreUnavailable(str(exc), method != 'GET')
        if response.error is not None and response.code >= 500:
            applied = method != 'GET' and response.code not in REFUSED
            return StoreUnavailable(f'status {response.code}', applied)
        if response.code in REFUSED:
            return StoreUnavailable(f'status {response.code}')
        try:
            content = json.loads(response.body or b'{}')
        except ValueError:
            return StoreUnavailable('the answer is not JSON', method != 'GET')
        if not isinstance(content, dict):
            return _malformed()
        return _Reply(response.code, content)


def _note_change(
    known: set[str],
    change: Entry | Absent | StoreUnavailable,
) -> None:
    if isinstance(change, Entry):
        known.add(change.key)
    elif isinstance(change, Absent):
        known.discard(change.key)


def _query(**fields: object) -> str:
    return urlencode(fields, quote_via=quote)


def _after(key: str) -> dict[str, str]:
    """Return where a page begins: ``after_revision`` holds a key here."""
    return {'after_revision': key} if key else {}


def _write_put(put: Put) -> dict[str, object]:
    text = base64.b64encode(put.content).decode()
    return {'key': put.key, 'value': text, 'lease': put.lease}


def _read_entries(content: dict[str, Any]) -> tuple[Entry, ...] | None:
    """Return the entries of a page; None where one can't be read.

    A page that is taken for shorter than it is would remove endpoints.
    """
    items = content.get('items')
    if not isinstance(items, list):
        return None
    entries = tuple(map(_read_entry, items))
    whole = tuple(entry for entry in entries if entry is not None)
    return whole if len(whole) == len(entries) else None


def _read_change(event: object) -> Entry | Absent | None:
    if isinstance(event, dict) and event.get('removed'):
        return Absent(str(event.get('key')), _int_of(event, 'revision'))
    return _read_entry(event)


def _read_entry(item: object) -> Entry | None:
    if not isinstance(item, dict) or not isinstance(item.get('key'), str):
        return None
    try:
        content = base64.b64decode(item.get('value', ''))
    except (ValueError, TypeError):
        content = b''
    return Entry(item['key'], content, _int_of(item, 'revision'))


def _revision_of(content: dict[str, Any]) -> int:
    """Return the store's revision as of the answer."""
    return _int_of(content, 'as_of')


def _int_of(content: dict[str, Any], name: str) -> int:
    number = content.get(name)
    return number if isinstance(number, int) else 0


def _make_lease(
    number: int,
    reply: _Reply,
    asked_at: float,
) -> Lease | StoreUnavailable:
    """Return a lease; a key that is put under number 0 would never lapse."""
    ttl = _int_of(reply.content, 'ttl_ms') / MS_PER_SECOND
    if reply.status != OK or number <= 0 or ttl <= 0:
        return StoreUnavailable(f'status {reply.status}, without a lease')
    return Lease(number, ttl, asked_at + ttl)


def _malformed() -> StoreUnavailable:
    return StoreUnavailable('the answer is malformed')
