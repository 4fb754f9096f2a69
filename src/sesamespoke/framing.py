"""The framing of HTTP/1.1 answers: where a head and a body end.

It tells a whole answer from a cut one. A body that only the closing of its
connection would end can't be told from a cut one and is not accepted.
"""

import sys
from dataclasses import dataclass
from enum import Enum

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    parse_response_start_line,
)

from sesamespoke.checked_fields import is_count

MAX_HEAD_BYTES = 65_536
MAX_SIZE_LINE_BYTES = 64
MAX_OVERHEAD_BYTES = 65_536
"""Framing that a body may have beyond as many bytes as its payload. Tiny chunks
and endless trailers take long to read."""
HEX = 16
MIN_STATUS = 100
MAX_STATUS = 599
CRLF = b'\r\n'
BODILESS_STATUSES = frozenset((204, 304))


class FramingError(Exception):
    """The endpoint sent what is not an HTTP answer."""


class Part(Enum):
    """What the next bytes of a body are."""

    SIZE = 'chunk size'
    PAYLOAD = 'payload'
    PAYLOAD_END = 'end of chunk'
    TRAILER = 'trailer'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class Head:
    """The status and headers of an answer."""

    status: int
    headers: HTTPHeaders

    @property
    def length(self) -> int | None:
        """Return the declared length of the body, or None."""
        text = self.headers.get('Content-Length')
        return None if text is None else int(text)


def split_head(buf: bytes) -> tuple[Head, bytes] | None:
    """Return the head and what follows it, or None if more must come."""
    end = buf.find(b'\r\n\r\n')
    if end < 0:
        if len(buf) > MAX_HEAD_BYTES:
            raise FramingError('the head is too long')
        return None
    if end > MAX_HEAD_BYTES:
        raise FramingError('the head is too long')
    return _parse_head(buf[:end]), buf[end + 4 :]


def _parse_head(text: bytes) -> Head:
    first, _, lines = text.decode('latin-1').partition('\r\n')
    try:
        status = parse_response_start_line(first).code
        headers = HTTPHeaders.parse(lines)
    except HTTPInputError as exc:
        raise FramingError('the head cannot be read') from exc
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise FramingError(f'{status} is no status')
    length = headers.get('Content-Length')
    if length is not None and not is_count(length):
        raise FramingError('the length of the body cannot be read')
    return Head(status, headers)


class BodyReader:
    """Takes payload out of the bytes that follow one head."""

    def __init__(
        self,
        head: Head,
        method: str,
        *,
        ends_by_close: bool = False,
    ) -> None:
        """Choose the framing that the head declares.

        A body without one is refused, unless the endpoints are known to
        end such bodies by closing the connection.
        """
        self.rest = b''
        self.unframed = False
        self._overhead_bytes = 0
        self._chunked = _is_chunked(head)
        self._left = head.length or 0
        bodiless = method == 'HEAD' or head.status in BODILESS_STATUSES
        if bodiless:
            self._part = Part.DONE
        elif self._chunked:
            self._part = Part.SIZE
        else:
            self._begin_payload(head, ends_by_close=ends_by_close)

    @property
    def finished(self) -> bool:
        """Return whether the whole body has been taken in."""
        return self._part is Part.DONE

    def _begin_payload(self, head: Head, *, ends_by_close: bool) -> None:
        if head.length is None and not ends_by_close:
            raise FramingError('the answer does not say where it ends')
        self.unframed = head.length is None
        self._left = sys.maxsize if self.unframed else self._left
        self._part = Part.PAYLOAD if self._left else Part.DONE

    def end_by_close(self) -> bool:
        """Note the connection's orderly end; return whether it was due."""
        if self.unframed:
            self._part = Part.DONE
        return self.unframed

    def feed(self, content: bytes) -> bytes:
        """Return the payload in the next bytes of the connection."""
        unread = len(self.rest) + len(content)
        payload = self._read_payload(content)
        self._overhead_bytes += unread - len(self.rest) - 2 * len(payload)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise FramingError('the body is mostly framing')
        return payload

    def _read_payload(self, content: bytes) -> bytes:
        if self._part is Part.SIZE and not self.rest:
            payload_of_one = _read_one_chunk(content)
            if payload_of_one:
                return payload_of_one
        buf = self.rest + content if self.rest else content
        payload: list[bytes] = []
        pos = 0
        while pos < len(buf) and self._part is not Part.DONE:
            step = self._step(buf, pos, payload)
            if step == 0:
                break
            pos += step
        self.rest = buf[pos:]
        return payload[0] if len(payload) == 1 else b''.join(payload)

    def _step(self, buf: bytes, pos: int, payload: list[bytes]) -> int:
        """Take one part in; return its length, or 0 if more must come."""
        if self._part is Part.PAYLOAD:
            return self._take_payload(buf, pos, payload)
        end = buf.find(CRLF, pos)
        if end < 0:
            if len(buf) - pos > MAX_SIZE_LINE_BYTES:
                raise FramingError('a chunk is not framed')
            return 0
        self._take_line(buf[pos:end])
        return end + len(CRLF) - pos

    def _take_payload(
        self,
        buf: bytes,
        pos: int,
        payload: list[bytes],
    ) -> int:
        piece = buf[pos : pos + self._left]
        payload.append(piece)
        self._left -= len(piece)
        if self._left == 0:
            self._part = Part.PAYLOAD_END if self._chunked else Part.DONE
        return len(piece)

    def _take_line(self, line: bytes) -> None:
        if self._part is Part.SIZE:
            self._left = _parse_size(line)
            self._part = Part.PAYLOAD if self._left else Part.TRAILER
        elif self._part is Part.TRAILER:
            self._part = Part.TRAILER if line else Part.DONE
        elif line:
            raise FramingError('a chunk is longer than its size')
        else:
            self._part = Part.SIZE


def _is_chunked(head: Head) -> bool:
    encoding = head.headers.get('Transfer-Encoding')
    if encoding is None:
        return False
    if encoding.strip().lower() != 'chunked' or head.length is not None:
        raise FramingError('the framing of the body is ambiguous')
    return True


def _read_one_chunk(content: bytes) -> bytes:
    """Return the payload if the bytes are one whole chunk, as most are."""
    line, _, chunk = content.partition(CRLF)
    if not line.isalnum() or not chunk.endswith(CRLF):
        return b''
    size = _parse_size(line)
    return chunk[:size] if size + len(CRLF) == len(chunk) else b''


def _parse_size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    if not digits.isalnum():
        raise FramingError('a chunk has no size')
    try:
        return int(digits, HEX)
    except ValueError as exc:
        raise FramingError('a chunk has no size') from exc
