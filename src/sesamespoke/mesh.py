"""Opens, accepts and serves the streams between entry hosts."""

import asyncio
from collections.abc import Iterable
from contextlib import ExitStack, suppress
from typing import Final, Protocol

from sesamespoke.codec import encode
from sesamespoke.connections import ByteStream, Connection
from sesamespoke.host_list import HostList
from sesamespoke.keepers import Keepers
from sesamespoke.messages import Hello, Message
from sesamespoke.metrics import Metrics
from sesamespoke.names import NameTables
from sesamespoke.peer_keys import KEY_CHECK_SECONDS
from sesamespoke.settings import Settings
from sesamespoke.transport import Transport

HELLO_TIMEOUT_SECONDS: Final = 2.0
RENEW_SECONDS: Final = 30.0
MAX_UNUSED: Final = 256


class MeshUser(Protocol):
    """What a mesh asks and tells."""

    def hello(self) -> Hello:
        """Return what this host says first on each stream."""

    def opened(self, hello: Hello) -> None:
        """Take note of a stream that has come into use."""

    def received(self, host: str, message: Message) -> None:
        """Take a message that follows the hello."""

    def closed(self, host: str) -> None:
        """Take note that the stream in use has ended."""

    def refused(self, host: str) -> None:
        """Take note that nothing listens at the host's address."""


class Mesh:
    """One stream in use per host."""

    def __init__(
        self,
        cfg: Settings,
        metrics: Metrics,
        host_list: HostList,
        transport: Transport,
    ) -> None:
        """Create a mesh without streams."""
        self.names = NameTables()
        self.check_keys = asyncio.Event()
        self.connections: dict[str, Connection] = {}
        self.keepers = Keepers(
            cfg,
            metrics,
            host_list,
            transport,
            self._serve_dialled,
            self._refused,
        )
        self._cfg = cfg
        self._metrics = metrics
        self._transport = transport
        self._user: MeshUser
        self._unused: set[Connection] = set()

    def listen(self, user: MeshUser) -> int:
        """Accept streams on behalf of a user; return the port."""
        self._user = user
        return self._transport.listen(self._cfg.peers, self._accept)

    async def stop(self) -> None:
        """Close every stream."""
        self._transport.close()
        await self.keepers.stop()
        for conn in (*self.connections.values(), *self._unused):
            conn.close()

    def keep(self, hosts: frozenset[str]) -> None:
        """Keep a stream to each of these hosts; open none to others."""
        self.keepers.keep(hosts, frozenset(self.connections))

    def write(self, host: str, frame: bytes) -> bool:
        """Send a frame to a host; return whether there is a stream."""
        conn = self.connections.get(host)
        if conn is None:
            return False
        conn.write(frame)
        return True

    def write_all(self, hosts: Iterable[str], frame: bytes) -> None:
        """Send a frame to each host to which there is a stream."""
        for host in hosts:
            self.write(host, frame)

    def drop(self, host: str) -> None:
        """Cut the stream to a host."""
        conn = self.connections.get(host)
        if conn is not None:
            conn.close()
            self._forget(conn)

    async def watch_keys(self) -> None:
        """Take new keys into use when their files change."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(KEY_CHECK_SECONDS):
                    await self.check_keys.wait()
            self.check_keys.clear()
            if self._transport.reload_keys():
                await self._renew()

    async def _renew(self) -> None:
        """Open all streams anew, one after the other."""
        old = tuple(self.connections.values())
        for conn in old:
            await asyncio.sleep(RENEW_SECONDS / len(old))
            conn.close()

    async def _serve_dialled(self, stream: ByteStream, host: str) -> bool:
        """Serve a stream to a host; return whether it came into use."""
        conn = Connection(
            stream,
            self._metrics,
            dialled=True,
            names=self.names,
        )
        await self._serve(conn, host)
        return conn.hello is not None

    async def _accept(self, stream: ByteStream) -> None:
        """Serve a stream that another host has opened."""
        if len(self._unused) >= MAX_UNUSED:
            self._metrics.count('peer_refused', why='too many')
            stream.close()
            return
        conn = Connection(
            stream,
            self._metrics,
            dialled=False,
            names=self.names,
        )
        await self._serve(conn, None)

    async def _serve(self, conn: Connection, expected: str | None) -> None:
        """Say hello, then deliver messages until the stream ends."""
        conn.write(encode(self._user.hello()))
        self._unused.add(conn)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HELLO_TIMEOUT_SECONDS, _close_unnamed, conn)
        with ExitStack() as stack:
            stack.callback(self._forget, conn)
            stack.callback(conn.close)
            stack.callback(timer.cancel)
            async for message in conn.read():
                if conn.hello is not None:
                    self._user.received(conn.hello.host, message)
                elif not self._admit(conn, message, expected):
                    return

    def _admit(
        self,
        conn: Connection,
        message: Message,
        expected: str | None,
    ) -> bool:
        """Take a stream into use if its first message is a fit hello."""
        if not isinstance(message, Hello):
            self._metrics.count('peer_refused', why='no hello')
            return False
        fault = self._find_fault(conn, message, expected)
        if fault is not None:
            self._metrics.count('peer_refused', why=fault)
            return False
        conn.hello = message
        before = self.connections.get(message.host)
        if before is not None and not _replaces(self._cfg.host, before, conn):
            self._metrics.count('peer_refused', why='second stream')
            return False
        self.connections[message.host] = conn
        self.keepers.occupy(message.host)
        self._unused.discard(conn)
        if before is not None:
            before.close()
        self._user.opened(message)
        return True

    def _find_fault(
        self,
        conn: Connection,
        hello: Hello,
        expected: str | None,
    ) -> str | None:
        """Return why a stream is not taken into use, if so."""
        if hello.host == self._cfg.host:
            return 'own name'
        names = self._transport.names_of(conn.stream)
        if names is not None and hello.host not in names:
            return 'certificate name'
        return None if expected in {None, hello.host} else 'other host'

    def _refused(self, host: str) -> None:
        """Tell that nothing listens at a host's address."""
        if host not in self.connections:
            self._user.refused(host)

    def _forget(self, conn: Connection) -> None:
        """Drop a stream that has ended."""
        self._unused.discard(conn)
        if conn.hello is None:
            return
        host = conn.hello.host
        if self.connections.get(host) is conn:
            del self.connections[host]
            self.keepers.vacate(host)
            self._user.closed(host)


def _close_unnamed(conn: Connection) -> None:
    """Close a stream on which no hello has come in time."""
    if conn.hello is None:
        conn.close()


def _replaces(own: str, before: Connection, conn: Connection) -> bool:
    """Return whether a second stream to a host replaces the first."""
    if before.hello is None or conn.hello is None:
        return True
    if before.hello.incarnation != conn.hello.incarnation:
        return before.hello.incarnation < conn.hello.incarnation
    lower = own < conn.hello.host
    return before.dialled == conn.dialled or conn.dialled == lower
