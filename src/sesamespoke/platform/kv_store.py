"""A client of the platform's key-value store, over its HTTP interface.

Each call opens its own connection. A connection that stops responding then
fails by its own timeout, and no later call is queued behind it.
"""

import asyncio
import base64
import json
from collections.abc import AsyncGenerator, Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httputil import HTTPHeaders

from sesamespoke.checked_fields import is_count
from sesamespoke.ip_resolver import IpResolver
from sesamespoke.retry_delay import RetryDelay
from sesamespoke.serving.store_era import StoreEra
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
"""The round trip to the store takes a few milliseconds."""
RESPONSE_TIMEOUT_SECONDS = 1.0
"""A response takes some milliseconds, and more when the platform is slow."""
RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 1.0
"""The delays before a watch calls the store again after failed calls."""
MAX_PARALLEL_CALLS = 10
MAX_RESPONSE_BYTES = 8_388_608
"""A page of a range holds about 1 MB, and a value at most as much."""
ERA_HEADER = 'Store-Era'

OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
CONDITION_FAILED = 412
REFUSED = frozenset((429, 503))
"""Statuses of calls that the store rejected without executing them."""
ScanResult = tuple[tuple[Entry, ...], int]
"""The entries below a prefix, and the store's revision of the read."""
WatchTimeout = Callable[[], float]
"""Returns how many seconds the next watch call waits for a change."""


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class _Page:
    entries: tuple[Entry, ...]
    revision: int
    has_more: bool


class KvStore:
    """Implements ``store.KeyStore`` with the platform's key-value service."""

    def __init__(self, address: Address, era: StoreEra | None = None) -> None:
        """Create a client; it connects at the first call."""
        self.era = era or StoreEra()
        self._base = f'http://{address}'
        self._client = _open_client()
        # A cancelled watch occupies its place until the call times out.
        self._watch_client = _open_client()

    async def get(self, key: str) -> Entry | Absent | StoreUnavailable:
        """Read one key."""
        reply = await self._call('GET', f'/v1/kv-key?{_query(key=key)}')
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == NOT_FOUND:
            return Absent(key, _read_revision(reply.content))
        return _read_entry(reply.content) or _malformed_response()

    async def scan(self, prefix: str) -> tuple[Entry, ...] | StoreUnavailable:
        """Read all keys that begin with a prefix."""
        listed = await self.scan_with_revision(prefix)
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
            'puts': [_encode_put(put) for put in puts if isinstance(put, Put)],
            'remove': [put.key for put in puts if isinstance(put, Delete)],
        }
        reply = await self._call('POST', '/v1/kv-txn', body)
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == OK:
            return Committed(_read_int(reply.content, 'revision'))
        if reply.status == CONDITION_FAILED:
            return Conflict(_read_entries(reply.content) or ())
        return StoreUnavailable(f'status {reply.status}')

    async def grant_lease(self, ttl: float) -> Lease | StoreUnavailable:
        """Request a lease of ``ttl`` seconds."""
        sent_at = asyncio.get_running_loop().time()
        body = {'ttl_ms': round(ttl * MS_PER_SECOND)}
        reply = await self._call('POST', '/v1/kv-lease', body)
        if isinstance(reply, StoreUnavailable):
            return reply
        number = _read_int(reply.content, 'lease')
        return _make_lease(number, reply, sent_at)

    async def renew_lease(
        self,
        lease: Lease,
    ) -> Lease | Absent | StoreUnavailable:
        """Renew a lease; return ``Absent`` if it has expired."""
        sent_at = asyncio.get_running_loop().time()
        reply = await self._call('POST', f'/v1/kv-keep/{lease.number}', {})
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == NOT_FOUND:
            return Absent('', 0)
        return _make_lease(lease.number, reply, sent_at)

    async def watch(
        self,
        prefix: str,
        wait: WatchTimeout,
        known_keys: set[str],
    ) -> AsyncGenerator[Entry | Absent | StoreUnavailable]:
        """Yield the entries below a prefix, then each change of them.

        After a gap in the history, all entries are read again, and those of
        ``known_keys`` that were deleted meanwhile are yielded as ``Absent``.
        The set is kept up to date for the same reader's next watch.
        """
        delay = RetryDelay(RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
        while True:
            listed = await self.scan_with_revision(prefix)
            if isinstance(listed, StoreUnavailable):
                yield listed
                await asyncio.sleep(delay.grow())
                continue
            delay.reset()
            entries, revision = listed
            era = self.era.number
            for key in known_keys - {entry.key for entry in entries}:
                yield Absent(key, revision)
                known_keys.discard(key)
            for entry in entries:
                known_keys.add(entry.key)
                yield entry
            async for change in self._changes(prefix, revision, era, wait):
                _update_known_keys(known_keys, change)
                yield change

    def close(self) -> None:
        """Close the client."""
        self._client.close()
        self._watch_client.close()

    async def _changes(
        self,
        prefix: str,
        revision: int,
        era: int,
        wait: WatchTimeout,
    ) -> AsyncGenerator[Entry | Absent | StoreUnavailable]:
        """Yield changes until the history has a gap or a call fails.

        The history of another era is another one, whatever its revisions.
        """
        while era == self.era.number:
            seconds = wait()
            query = _query(
                prefix=prefix,
                after_revision=revision,
                wait_ms=round(seconds * MS_PER_SECOND),
            )
            path = f'/v1/kv-watch?{query}'
            reply = await self._call(
                'GET',
                path,
                timeout=seconds + RESPONSE_TIMEOUT_SECONDS,
                is_watch=True,
            )
            if isinstance(reply, StoreUnavailable):
                yield reply
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                return
            if reply.status != OK or era != self.era.number:
                return
            for event in reply.content.get('events', ()):
                change = _read_change(event)
                if change is not None:
                    yield change
            revision = max(revision, _read_revision(reply.content))

    async def scan_with_revision(
        self,
        prefix: str,
        *,
        stale: bool = False,
    ) -> ScanResult | StoreUnavailable:
        """Return all entries below a prefix, and the first page's revision.

        A ``stale`` read is cheaper for the store, and its result may be
        seconds old.
        """
        entries: list[Entry] = []
        revision, era, after = 0, self.era.number, ''
        while True:
            page = await self._read_page(prefix, after, stale=stale)
            if isinstance(page, StoreUnavailable):
                return page
            if after and era != self.era.number:
                return StoreUnavailable('the store came back from a copy')
            era = self.era.number
            revision = revision or page.revision
            entries.extend(page.entries)
            if not (page.entries and page.has_more):
                return tuple(entries), revision
            after = page.entries[-1].key

    async def _read_page(
        self, prefix: str, after: str, *, stale: bool
    ) -> _Page | StoreUnavailable:
        options = {'serializable': 1} if stale else {}
        query = _query(prefix=prefix, **options, **_page_start(after))
        reply = await self._call('GET', f'/v1/kv-range?{query}')
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status != OK:
            return StoreUnavailable(f'status {reply.status}')
        entries = _read_entries(reply.content)
        revision = _read_revision(reply.content)
        if entries is None or not revision:
            return _malformed_response()
        return _Page(entries, revision, bool(reply.content.get('has_more')))

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
        *,
        is_watch: bool = False,
    ) -> _Reply | StoreUnavailable:
        """Make one call; ``StoreUnavailable`` if it failed or was rejected."""
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
        client = self._watch_client if is_watch else self._client
        try:
            response = await client.fetch(request, raise_error=False)
        except (OSError, HTTPError) as exc:
            return StoreUnavailable(str(exc), method != 'GET')
        if not self._is_current(response.headers):
            return StoreUnavailable(
                'an answer of an older era', method != 'GET'
            )
        return _decode(method, response)

    def _is_current(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer is of the newest era that is known.

        A store that tells no era is served as one that never changes it.
        """
        text = headers.get(ERA_HEADER)
        if text is None:
            return True
        if not is_count(text):
            self.era.note_unreadable(text)
            return True
        return self.era.observe(int(text), 'store')


def _open_client() -> AsyncHTTPClient:
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_PARALLEL_CALLS,
        max_body_size=MAX_RESPONSE_BYTES,
        resolver=IpResolver(),
    )


def _decode(method: str, response: HTTPResponse) -> _Reply | StoreUnavailable:
    """Return the reply of a call, or why there is none that can be used."""
    if response.error is not None and response.code >= 500:
        applied = method != 'GET' and response.code not in REFUSED
        return StoreUnavailable(f'status {response.code}', applied)
    if response.code in REFUSED:
        return StoreUnavailable(f'status {response.code}')
    try:
        content = json.loads(response.body or b'{}')
    except ValueError:
        return StoreUnavailable('the response is not JSON', method != 'GET')
    if not isinstance(content, dict):
        return _malformed_response()
    return _Reply(response.code, content)


def _update_known_keys(
    known_keys: set[str],
    change: Entry | Absent | StoreUnavailable,
) -> None:
    if isinstance(change, Entry):
        known_keys.add(change.key)
    elif isinstance(change, Absent):
        known_keys.discard(change.key)


def _query(**fields: object) -> str:
    return urlencode(fields, quote_via=quote)


def _page_start(key: str) -> dict[str, str]:
    """Return the query field for the next page.

    In range reads ``after_revision`` holds a key, not a revision.
    """
    return {'after_revision': key} if key else {}


def _encode_put(put: Put) -> dict[str, object]:
    text = base64.b64encode(put.content).decode()
    return {'key': put.key, 'value': text, 'lease': put.lease}


def _read_entries(content: dict[str, Any]) -> tuple[Entry, ...] | None:
    """Return the entries of a page, or None if one of them can't be decoded.

    A page without that entry would look as if its endpoint had been removed.
    """
    items = content.get('items')
    if not isinstance(items, list):
        return None
    entries = tuple(map(_read_entry, items))
    decoded = tuple(entry for entry in entries if entry is not None)
    return decoded if len(decoded) == len(entries) else None


def _read_change(event: object) -> Entry | Absent | None:
    if isinstance(event, dict) and event.get('removed'):
        return Absent(str(event.get('key')), _read_int(event, 'revision'))
    return _read_entry(event)


def _read_entry(item: object) -> Entry | None:
    if not isinstance(item, dict) or not isinstance(item.get('key'), str):
        return None
    try:
        content = base64.b64decode(item.get('value', ''))
    except (ValueError, TypeError):
        content = b''
    return Entry(item['key'], content, _read_int(item, 'revision'))


def _read_revision(content: dict[str, Any]) -> int:
    """Return the store's revision at the time of the response."""
    return _read_int(content, 'as_of')


def _read_int(content: dict[str, Any], name: str) -> int:
    number = content.get(name)
    return number if isinstance(number, int) else 0


def _make_lease(
    number: int,
    reply: _Reply,
    sent_at: float,
) -> Lease | StoreUnavailable:
    """Return the granted lease, unless the response names none.

    Lease number 0 is refused: a key written under it would never expire.
    """
    ttl = _read_int(reply.content, 'ttl_ms') / MS_PER_SECOND
    if reply.status != OK or number <= 0 or ttl <= 0:
        return StoreUnavailable(f'status {reply.status}, without a lease')
    return Lease(number, ttl, sent_at + ttl)


def _malformed_response() -> StoreUnavailable:
    return StoreUnavailable('the response is malformed')
