"""Tells crashes of endpoints from connections that merely broke.

An endpoint that has crashed refuses connections until it is back. One that
resets a single connection, or the connections above its limit, goes on
accepting others.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from sesamespoke.crash_evidence import BrokenRequest
from sesamespoke.loop_timeout import loop_timeout

COLLECT_SECONDS = 0.02
"""Time within which the connections to a crashed endpoint all break."""
CONNECT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class ServedEndpoint:
    """An endpoint; ``name`` identifies its incarnation where one is known.

    ``address`` is ``IP:PORT``.
    """

    name: str
    address: str


IsRefusing = Callable[[str], Awaitable[bool]]
OnCrash = Callable[[ServedEndpoint, tuple[BrokenRequest, ...]], None]


async def refuses_connections(address: str) -> bool:
    """Return whether nothing listens at an ``IP:PORT``."""
    ip, _, port = address.rpartition(':')
    try:
        async with loop_timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(ip, int(port))
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return False


class CrashDetector:
    """Collects requests that broke, until their endpoint's state is known."""

    def __init__(
        self,
        on_crash: OnCrash,
        is_refusing: IsRefusing = refuses_connections,
    ) -> None:
        """Call ``on_crash`` with the requests that broke at a crash."""
        self._on_crash = on_crash
        self._is_refusing = is_refusing
        self._broken: dict[ServedEndpoint, list[BrokenRequest]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def note_broken(
        self, endpoint: ServedEndpoint, request: BrokenRequest
    ) -> None:
        """Check the endpoint soon, together with what breaks until then."""
        broken = self._broken.get(endpoint)
        if broken is not None:
            broken.append(request)
            return
        self._broken[endpoint] = [request]
        check = asyncio.create_task(self._check(endpoint))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def close(self) -> None:
        """Cancel the checks that are under way."""
        for check in self._checks:
            check.cancel()

    async def _check(self, endpoint: ServedEndpoint) -> None:
        await asyncio.sleep(COLLECT_SECONDS)
        is_refusing = await self._is_refusing(endpoint.address)
        broken = self._broken.pop(endpoint)
        if is_refusing:
            self._on_crash(endpoint, tuple(broken))
