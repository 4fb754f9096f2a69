"""The bytes of a request body that is still arriving."""

PIECE_BYTES = 4096
"""Smaller parts are joined, so that a piece costs far more than its object."""


class BodyBuffer:
    """Collects a body in pieces that are joined once it is whole.

    A single growing buffer moves to a larger place each time, and what it
    leaves is too small for the next: bodies that grow side by side leave holes
    of several times their own size. Pieces of one size fill them again.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._size = 0
        self._pieces: list[bytes] = []
        self._rest = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, part: bytes) -> None:
        """Add the next part."""
        self._size += len(part)
        if self._rest or len(part) < PIECE_BYTES:
            self._rest += part
            if len(self._rest) < PIECE_BYTES:
                return
            part = bytes(self._rest)
            self._rest.clear()
        self._pieces.append(part)

    def take(self) -> bytes:
        """Return all bytes, and start again empty."""
        if self._rest:
            self._pieces.append(bytes(self._rest))
        body = b''.join(self._pieces)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all bytes."""
        self._size = 0
        self._pieces.clear()
        self._rest.clear()
