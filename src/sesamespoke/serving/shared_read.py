"""Reads that several callers wait for at the same time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

ResultT = TypeVar('ResultT')


class SharedRead(Generic[ResultT]):
    """Runs one read at a time, for all callers that wait for it.

    A caller never gets the result of a read that began before it asked.
    """

    def __init__(self, read: Callable[[], Awaitable[ResultT]]) -> None:
        """Share calls of ``read``."""
        self._read = read
        self._current: asyncio.Task[ResultT] | None = None
        self._next: asyncio.Task[ResultT] | None = None

    async def get(self) -> ResultT:
        """Return the result of a read that begins now or later."""
        if self._next is None:
            self._next = asyncio.create_task(self._run(self._current))
        return await asyncio.shield(self._next)

    async def _run(self, current: asyncio.Task[ResultT] | None) -> ResultT:
        if current is not None:
            await asyncio.wait((current,))
        self._current = self._next
        self._next = None
        return await self._read()
