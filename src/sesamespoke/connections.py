"""One TCP connection to another entry host, and its messages."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Final, Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from sesamespoke.codec import BadFrame, Decoder, Skipped
from sesamespoke.messages import Hello, Message
from sesamespoke.metrics import Metrics
from sesamespoke.names import NameTables

READ_BYTES: Final = 65_536
MAX_WRITE_BUFFER_BYTES: Final = 8_388_608


class ByteStream(Protocol):
    """What a connection uses of Tornado's ``IOStream``."""

    max_write_buffer_size: int | None

    def read_bytes(
        self,
        num_bytes: int,
        partial: bool = False,
    ) -> Awaitable[bytes]:
        """Wait for bytes; raise ``StreamClosedError`` at the end."""

    def write(self, data: bytes) -> object:
        """Queue bytes; raise ``StreamBufferFullError`` above the bound."""

    def close(self) -> None:
        """Close both directions."""


class Connection:
    """A stream of messages, both ways.

    Frames that are written within one turn of the loop leave as one write.
    A peer that reads too slowly is cut off at a bound of unsent bytes.
    """

    def __init__(
        self,
        stream: ByteStream,
        metrics: Metrics,
        dialled: bool,
        names: NameTables | None = None,
    ) -> None:
        """Take over an open stream; ``dialled`` if this host opened it."""
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        self.dialled = dialled
        self.hello: Hello | None = None
        self.bytes_sent = 0
        self.closed = False
        self.stream = stream
        self._metrics = metrics
        self._names = names
        self._frames: list[bytes] = []
        self._loop = asyncio.get_running_loop()

    def write(self, frame: bytes) -> None:
        """Send a frame with the others of this turn of the loop."""
        if not self._frames:
            self._loop.call_soon(self._flush)
        self._frames.append(frame)

    async def read(self) -> AsyncIterator[Message]:
        """Yield messages until the stream ends or sends rubbish."""
        decoder = Decoder(self._names)
        while not self.closed:
            try:
                chunk = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                return
            for part in decoder.feed(chunk):
                if isinstance(part, BadFrame):
                    self._metrics.count('peer_bad_frames', why=part.reason)
                    return
                if isinstance(part, Skipped):
                    self._metrics.count('peer_unknown_messages')
                else:
                    yield part

    def close(self) -> None:
        """Send what is queued as far as possible, and close."""
        self._flush()
        self.closed = True
        self.stream.close()

    def _flush(self) -> None:
        """Write the frames of this turn."""
        frames = self._frames
        if self.closed or not frames:
            return
        self._frames = []
        chunk = b''.join(frames)
        try:
            self.stream.write(chunk)
        except StreamClosedError:
            return
        except StreamBufferFullError:
            self._metrics.count('peer_slow_dropped')
            self._abort()
            return
        self.bytes_sent += len(chunk)

    def _abort(self) -> None:
        """Close without sending; the reader then ends."""
        self.closed = True
        self.stream.close()
