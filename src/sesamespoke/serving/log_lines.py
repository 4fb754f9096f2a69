"""Structured log lines on standard output: rate limited and non-blocking.

Lines on single requests increase with the request rate. They have a lower limit
of their own, so that the few lines on changes, which explain the others, are
still written.
"""

import asyncio
import os
import sys
from collections import deque
from contextlib import suppress

import structlog
from structlog.typing import EventDict

LINES_PER_SECOND = 400
"""Limit of the lines that are written; those above it are only counted."""
BURST_LINES = 800
REQUEST_LINES_PER_SECOND = 300
REQUEST_BURST_LINES = 600
"""The part of these limits that lines on requests may use."""
MAX_BUFFERED_BYTES = 1_048_576
"""Limit of the buffer for a slow reader; when it is full, new lines are
dropped."""


class _TokenBucket:
    """Limits lines to a rate per second, with a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        """Start with a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: float = 0
        self._loop = asyncio.get_running_loop()

    def take(self) -> bool:
        """Return whether one more line may be written."""
        now = self._loop.time()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without blocking the event loop."""

    def __init__(self, fd: int) -> None:
        """Make an open descriptor non-blocking, unless it is a terminal."""
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._line_limit = _TokenBucket(LINES_PER_SECOND, BURST_LINES)
        self._request_line_limit = _TokenBucket(
            REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES
        )
        self._loop = asyncio.get_running_loop()
        self._is_flush_scheduled = False
        if not os.isatty(fd):
            with suppress(OSError):
                os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Buffer a line, or count it as dropped."""
        if (
            self._buffered_bytes > MAX_BUFFERED_BYTES
            or not self._line_limit.take()
        ):
            self._dropped += 1
            return
        if self._dropped:
            dropped = f'{{"event": "lines_dropped", "count": {self._dropped}}}'
            self._dropped = 0
            self._append(dropped)
        self._append(line)

    info = msg
    warning = msg
    error = msg
    exception = msg

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        self._is_flush_scheduled = False
        chunk = b''.join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        try:
            while chunk:
                # After a partial write, the reader may still accept more.
                chunk = chunk[os.write(self._fd, chunk) :]
        except BlockingIOError:
            self._lines.append(chunk)
            self._buffered_bytes = len(chunk)
            self._schedule_flush(0.05)
        except OSError:
            self._dropped += chunk.count(b'\n')

    def _append(self, line: str) -> None:
        encoded = f'{line}\n'.encode()
        self._lines.append(encoded)
        self._buffered_bytes += len(encoded)
        self._schedule_flush(0.01)

    def _schedule_flush(self, delay: float) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_later(delay, self.flush)

    def limit_request_lines(
        self, logger: object, method: str, fields: EventDict
    ) -> EventDict:
        """Drop a line on a request before it is rendered, if over the limit.

        This is a structlog processor.
        """
        if 'request_id' in fields and not self._request_line_limit.take():
            self._dropped += 1
            raise structlog.DropEvent
        return fields


def open_log() -> LineWriter:
    """Configure structlog to write JSON lines to standard output."""
    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            writer.limit_request_lines,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(0),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return writer
