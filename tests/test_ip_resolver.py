"""Addresses without names."""

import asyncio
import socket
import threading

import pytest
from support import run
from tornado.tcpclient import TCPClient

from sesamespoke.ip_resolver import IpResolver


def test_ip_numbers_are_taken_as_they_are() -> None:
    async def steps() -> None:
        resolver = IpResolver()
        assert await resolver.resolve('10.1.0.3', 80) == [
            (socket.AF_INET, ('10.1.0.3', 80))
        ]
        assert await resolver.resolve('::1', 80) == [
            (socket.AF_INET6, ('::1', 80))
        ]

    run(steps())


def test_a_name_is_refused() -> None:
    async def steps() -> None:
        with pytest.raises(OSError, match='engine.example'):
            await IpResolver().resolve('engine.example', 80)

    run(steps())


def test_a_connection_starts_no_thread() -> None:
    async def steps() -> None:
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        before = threading.active_count()
        stream = await TCPClient(resolver=IpResolver()).connect(
            '127.0.0.1', port
        )
        assert threading.active_count() == before
        stream.close()
        server.close()

    asyncio.run(steps())
