"""Server-sent events as they are relayed: whole ones, counted, resumable."""

import json
import re

from sesamespoke.checked_fields import is_count
from sesamespoke.work import Usage

EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
LAST_EVENT = b'data: [DONE]'
MAX_EVENT_BYTES = 1_048_576
MAX_BYTES_WITHOUT_DATA = 2 * MAX_EVENT_BYTES
"""Limit of comments and empty events between two events with data."""
BYTES_PER_TOKEN = 4
ID_LINE = re.compile(rb'^id: ?(.+?)\r?$', re.MULTILINE)
USAGE_FIELD = b'"usage"'
DATA_FIELD = b'data:'


class EventRelay:
    """Cuts a stream into whole events and remembers what resuming needs."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.count = 0
        self.ended = False
        self._held = b''
        self._bytes_without_data = 0
        self._resumed_after = b''
        self._with_id = b''
        self._latest = b''
        self._before = b''

    def feed(self, payload: bytes) -> bytes:
        """Return the whole events that are complete now, untouched."""
        if not self._held and payload.endswith(EVENT_ENDS):
            self._remember(payload)
            return payload
        buf = self._held + payload
        if buf.endswith(EVENT_ENDS):
            self._held = b''
        else:
            end = _find_end(buf)
            self._held = buf[end:]
            buf = buf[:end]
        if buf:
            self._remember(buf)
        return buf

    @property
    def overflowing(self) -> bool:
        """Return whether what came cannot be a stream of events.

        An event is longer than is kept in memory, or there is no end of
        comments.
        """
        return (
            len(self._held) > MAX_EVENT_BYTES
            or self._bytes_without_data > MAX_BYTES_WITHOUT_DATA
        )

    @property
    def holds_part(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._held)

    @property
    def last_id(self) -> bytes:
        """Return the id of the last event that was passed on, if any."""
        ids: list[bytes] = ID_LINE.findall(self._with_id)
        return ids[-1] if ids else b''

    def restart(self) -> None:
        """Forget a cut event, before the stream is begun or resumed."""
        self._held = b''
        self._bytes_without_data = 0
        self._resumed_after = self.last_id

    def follows(self, events: bytes) -> bool:
        """Return whether the first events after a cut continue the stream."""
        last_id = self._resumed_after
        if not last_id:
            return True
        self._resumed_after = b''
        found = ID_LINE.search(events)
        return found is not None and _is_next(last_id, found.group(1))

    def usage(self, prompt_bytes: int) -> Usage:
        """Return the usage that the stream told, else what was counted."""
        told = self._read_usage()
        if told is not None:
            return told
        return Usage(prompt_bytes // BYTES_PER_TOKEN, self.count)

    def _remember(self, events: bytes) -> None:
        count = events.count(DATA_FIELD)
        self._bytes_without_data = (
            0 if count else self._bytes_without_data + len(events)
        )
        self.count += count
        if b'id:' in events:
            self._with_id = events
        self._before = self._latest
        self._latest = events
        if LAST_EVENT in events:
            self.ended = True
            self.count -= 1

    def _read_usage(self) -> Usage | None:
        for line in reversed((self._before + self._latest).splitlines()):
            if line.startswith(b'data: {') and USAGE_FIELD in line:
                return read_usage(line.removeprefix(b'data: '))
        return None


def read_usage(body: bytes) -> Usage | None:
    """Return the usage that an answer of the protocol tells, if any."""
    try:
        answer = json.loads(body)
        usage = answer['usage']
        return Usage(
            int(usage['prompt_tokens']),
            int(usage['completion_tokens']),
        )
    except (ValueError, TypeError, KeyError):
        return None


def has_data(events: bytes) -> bool:
    """Return whether some of these whole events are more than comments."""
    return DATA_FIELD in events


def _find_end(buf: bytes) -> int:
    ends = (buf.rfind(end) + len(end) for end in EVENT_ENDS if end in buf)
    return max(ends, default=0)


def _is_next(last_id: bytes, event_id: bytes) -> bool:
    """Return whether an id can follow another; those we know are numbers."""
    ids = (last_id.decode('latin-1'), event_id.decode('latin-1'))
    if all(map(is_count, ids)):
        return int(event_id) == int(last_id) + 1
    return event_id != last_id
