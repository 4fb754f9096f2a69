"""Peer connections over TCP, with mutual TLS where there are keys."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Final, Protocol

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from sesamespoke.connections import ByteStream
from sesamespoke.ip_resolver import IpResolver
from sesamespoke.metrics import Metrics
from sesamespoke.peer_keys import PeerKeys, names_in
from sesamespoke.settings import Address, Settings

HANDSHAKE_TIMEOUT_SECONDS: Final = 2.0
MS_PER_SECOND: Final = 1000

Accept = Callable[[ByteStream], Awaitable[None]]


class Transport(Protocol):
    """How connections come about; tests use one in memory."""

    def listen(self, address: Address, accept: Accept) -> int:
        """Accept connections; return the port."""

    async def dial(self, address: Address) -> ByteStream:
        """Open a connection; raise ``OSError`` if that fails."""

    def names_of(self, stream: ByteStream) -> frozenset[str] | None:
        """Return the peer's authenticated names; None without TLS."""

    def reload_keys(self) -> bool:
        """Use new keys for new connections; return whether there are any."""

    def close(self) -> None:
        """Stop listening."""


class TcpTransport:
    """Connections over TCP."""

    def __init__(self, cfg: Settings, metrics: Metrics) -> None:
        """Read the keys; the transport does not listen yet."""
        patience = cfg.timing.suspect_after + cfg.timing.heartbeat
        self._unacknowledged_ms = int(patience * MS_PER_SECOND)
        self._metrics = metrics
        self._keys = (
            None if cfg.peer_tls is None else PeerKeys(cfg.peer_tls, metrics)
        )
        self._client = TCPClient(resolver=IpResolver())
        self._server: _Server | None = None

    def listen(self, address: Address, accept: Accept) -> int:
        """Accept connections; return the port."""

        async def admit(stream: IOStream) -> None:
            if await self._shake_hands(stream):
                self._tune(stream)
                await accept(stream)

        context = None if self._keys is None else self._keys.server
        self._server = _Server(admit, context)
        sockets = bind_sockets(address.port, address.ip)
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    async def dial(self, address: Address) -> ByteStream:
        """Open a connection; raise ``OSError`` if that fails."""
        try:
            stream = await self._client.connect(address.ip, address.port)
            self._tune(stream)
            return await self._secure(stream)
        except StreamClosedError as exc:
            raise exc.real_error or exc from exc

    def names_of(self, stream: ByteStream) -> frozenset[str] | None:
        """Return the peer's authenticated names; None without TLS."""
        if self._keys is None:
            return None
        if not isinstance(stream, SSLIOStream) or stream.socket is None:
            return frozenset()
        return names_in(stream.socket.getpeercert())

    def reload_keys(self) -> bool:
        """Use new keys for new connections; return whether there are any."""
        if self._keys is None or not self._keys.reload():
            return False
        if self._server is not None:
            self._server.ssl_options = self._keys.server
        return True

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    async def _secure(self, stream: IOStream) -> IOStream:
        """Open TLS on a dialled connection, if there are keys."""
        if self._keys is None:
            return stream
        with ExitStack() as stack:
            stack.callback(stream.close)
            secured = await stream.start_tls(
                server_side=False,
                ssl_options=self._keys.client,
            )
            stack.pop_all()
        return secured

    async def _shake_hands(self, stream: IOStream) -> bool:
        """Wait until an accepted connection is authenticated."""
        if not isinstance(stream, SSLIOStream):
            return True
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                await stream.wait_for_handshake()
        except (OSError, TimeoutError):
            self._metrics.count('peer_refused', why='certificate')
            stream.close()
            return False
        return True

    def _tune(self, stream: IOStream) -> None:
        """Send small frames at once; give up what is not acknowledged."""
        stream.set_nodelay(value=True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._unacknowledged_ms,
        )


class _Server(TCPServer):
    """Hands accepted streams to a function."""

    def __init__(
        self,
        accept: Callable[[IOStream], Awaitable[None]],
        context: ssl.SSLContext | None,
    ) -> None:
        super().__init__(ssl_options=context)
        self._accept = accept

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve one stream until it ends."""
        await self._accept(stream)
