"""Structured log lines on standard output: bounded, and never blocking.

Lines on single requests come in the number of requests; they leave room for
the lines on changes, which are few and explain the others.
"""

import asyncio
import os
import sys
from collections import deque
from contextlib import suppress

import structlog
from structlog.typing import EventDict

LINES_PER_SECOND = 400
"""Lines that are written; what a process decides above that is counted."""
BURST_LINES = 800
REQUEST_LINES_PER_SECOND = 300
REQUEST_BURST_LINES = 600
"""What lines on requests may take of that."""
MAX_BUFFERED_BYTES = 1_048_576
"""What is kept for a reader that is too slow; newer lines are dropped."""


class _Allowance:
    """A bound of lines a second, with some ahead."""

    def __init__(self, rate: float, burst: float) -> None:
        """Start with all that may come ahead."""
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
    """Writes lines to a descriptor, as fast as its reader takes them."""

    def __init__(self, fd: int) -> None:
        """Write to an open descriptor, without waiting for it."""
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._kept = 0
        self._dropped = 0
        self._allowed = _Allowance(LINES_PER_SECOND, BURST_LINES)
        self._for_requests = _Allowance(
            REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES
        )
        self._loop = asyncio.get_running_loop()
        self._armed = False
        if not os.isatty(fd):
            with suppress(OSError):
                os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        if self._kept > MAX_BUFFERED_BYTES or not self._allowed.take():
            self._dropped += 1
            return
        if self._dropped:
            dropped = f'{{"event": "lines_dropped", "count": {self._dropped}}}'
            self._dropped = 0
            self._queue(dropped)
        self._queue(line)

    info = msg
    warning = msg
    error = msg
    exception = msg

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._armed = False
        chunk = b''.join(self._lines)
        self._lines.clear()
        self._kept = 0
        try:
            while chunk:
                # A part that was taken need not mean that the reader is full.
                chunk = chunk[os.write(self._fd, chunk) :]
        except BlockingIOError:
            self._lines.append(chunk)
            self._kept = len(chunk)
            self._arm(0.05)
        except OSError:
            self._dropped += chunk.count(b'\n')

    def _queue(self, line: str) -> None:
        encoded = f'{line}\n'.encode()
        self._lines.append(encoded)
        self._kept += len(encoded)
        self._arm(0.01)

    def _arm(self, delay: float) -> None:
        if not self._armed:
            self._armed = True
            self._loop.call_later(delay, self.flush)

    def limit_request_lines(
        self, logger: object, method: str, facts: EventDict
    ) -> EventDict:
        """Drop a line on a request before it is rendered, if there are many.

        A processor of structlog.
        """
        if 'request_id' in facts and not self._for_requests.take():
            self._dropped += 1
            raise structlog.DropEvent
        return facts


def open_log() -> LineWriter:
    """Send the process's log lines to standard output as JSON."""
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
