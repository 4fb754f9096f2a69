"""Exchanging the document with peers, by chunks that one side lacks."""

import asyncio
from collections.abc import Callable, Iterable

from sesamespoke.chunk_cache import ChunkCache
from sesamespoke.document_root import Root, decode_root, encode_root
from sesamespoke.links import Links
from sesamespoke.messages import (
    DocumentPart,
    DocumentRequest,
    DocumentRoot,
    Heartbeat,
    Hello,
    RevisionQuery,
    RevisionTold,
)
from sesamespoke.metrics import Metrics

# A request that got no answer in this time is sent again.
ASK_SECONDS = 0.5
FETCH_SECONDS = 1.0
MAX_FETCHES = 3
MAX_DIGESTS_PER_REQUEST = 256


class DocumentPeers:
    """Learns of newer revisions from peers, and serves them its own."""

    def __init__(
        self,
        links: Links,
        cache: ChunkCache,
        metrics: Metrics,
        on_root: Callable[[Root], None],
    ) -> None:
        """Subscribe; ``on_root`` is called for each root that peers send."""
        self.revisions: dict[str, int] = {}
        self._links = links
        self._cache = cache
        self._metrics = metrics
        self._on_root = on_root
        self._own: Root | None = None
        self._highest = 0
        self._asked: tuple[int, float] = (0, 0)
        self._fetching: dict[bytes, asyncio.Future[bool]] = {}
        links.subscribe(Hello, self._hear_hello)
        links.subscribe(Heartbeat, self._hear_heartbeat)
        links.subscribe(RevisionQuery, self._tell_revision)
        links.subscribe(RevisionTold, self._hear_told)
        links.subscribe(DocumentRequest, self._answer)
        links.subscribe(DocumentRoot, self._hear_root)
        links.subscribe(DocumentPart, self._hear_part)

    def serve(self, root: Root) -> None:
        """Serve this revision from now on."""
        self._own = root
        self.know(root)

    def know(self, root: Root) -> None:
        """Ask no peer for this root or an older one."""
        self._highest = max(self._highest, root.revision)

    def ask_revisions(self, hosts: Iterable[str]) -> None:
        """Ask hosts whose heartbeats do not come here for their revision."""
        own = self._own.revision if self._own else 0
        for host in hosts:
            self._links.send(host, RevisionQuery(own))

    async def fetch(self, root: Root) -> bool:
        """Fetch a root's missing chunks from peers that should have them."""
        for host in self._providers(root.revision)[:MAX_FETCHES]:
            missing = self._cache.missing(root)
            if not missing or await self._fetch_from(host, missing):
                break
        return not self._cache.missing(root)

    def _providers(self, revision: int) -> list[str]:
        """Return the hosts with a revision, the nearest first."""
        nearby = set(self._links.view.hosts(self._links.data_centre))
        seen = set(self._links.view.hosts())
        hosts = [
            host
            for host, known in self.revisions.items()
            if known >= revision and host in seen
        ]
        return sorted(hosts, key=lambda host: host not in nearby)

    async def _fetch_from(self, host: str, missing: Iterable[bytes]) -> bool:
        loop = asyncio.get_running_loop()
        digests = tuple(missing)
        self._fetching = {digest: loop.create_future() for digest in digests}
        for start in range(0, len(digests), MAX_DIGESTS_PER_REQUEST):
            batch = digests[start : start + MAX_DIGESTS_PER_REQUEST]
            if not self._links.send(host, DocumentRequest(batch)):
                return False
        waiting = self._fetching.values()
        done, _ = await asyncio.wait(waiting, timeout=FETCH_SECONDS)
        return len(done) == len(digests) and all(fut.result() for fut in done)

    def _hear_hello(self, host: str, hello: Hello) -> None:
        self._hear_revision(host, hello.revision)

    def _tell_revision(self, host: str, query: RevisionQuery) -> None:
        own = self._own.revision if self._own else 0
        self._links.send(host, RevisionTold(own))
        self._hear_revision(host, query.revision)

    def _hear_told(self, host: str, told: RevisionTold) -> None:
        self._hear_revision(host, told.revision)

    def _hear_heartbeat(self, host: str, heartbeat: Heartbeat) -> None:
        self._hear_revision(host, heartbeat.revision)

    def _hear_revision(self, host: str, revision: int) -> None:
        self.revisions[host] = revision
        if revision <= self._highest:
            return
        now = asyncio.get_running_loop().time()
        asked_revision, asked_at = self._asked
        if revision > asked_revision or now >= asked_at + ASK_SECONDS:
            self._asked = (revision, now)
            self._links.send(host, DocumentRequest(()))

    def _answer(self, host: str, request: DocumentRequest) -> None:
        if request.digests:
            self._send_parts(host, request.digests)
        elif self._own is not None:
            content = encode_root(self._own)
            answer = DocumentRoot(self._own.revision, content)
            self._links.send(host, answer)

    def _send_parts(self, host: str, digests: Iterable[bytes]) -> None:
        for digest in digests:
            content = self._cache.find(digest)
            self._metrics.count('document_bytes_sent', len(content))
            self._links.send(host, DocumentPart(digest, content))

    def _hear_root(self, host: str, message: DocumentRoot) -> None:
        root = decode_root(message.content)
        if root is None:
            self._metrics.count('document_roots_unreadable')
            return
        self.revisions[host] = root.revision
        self.know(root)
        self._on_root(root)

    def _hear_part(self, host: str, part: DocumentPart) -> None:
        fut = self._fetching.get(part.digest)
        if fut is not None and not fut.done():
            fut.set_result(self._cache.add(part.digest, part.content))
