"""Sections as chunks that are named by their digests.

A text is cut where the hash of a line says so, hence an edit changes the
chunk that it falls in and leaves the others as they are; only changed
chunks travel. Source: Muthitacharoen, Chen and Mazières, "A low-bandwidth
network file system", SOSP 2001.
"""

import hashlib
import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

DIGEST_BYTES = 20
MAX_CHUNK_BYTES = 65_536
MIN_CHUNK_BYTES = 4096

# One line in this many ends a chunk.
LINES_PER_CHUNK = 256


@dataclass(frozen=True, slots=True)
class Chunk:
    """A compressed part of a section's text and the digest of that part."""

    digest: bytes
    content: bytes


def cut_chunks(text: str) -> list[Chunk]:
    """Return a section's text as chunks, in order."""
    return [_compress(part) for part in _cut_parts(text.encode())]


def read_chunk(digest: bytes, content: bytes) -> bytes | None:
    """Return the plain bytes of a chunk, or None if it is corrupt."""
    unpacker = zlib.decompressobj()
    try:
        part = unpacker.decompress(content, MAX_CHUNK_BYTES)
    except zlib.error:
        return None
    is_whole = unpacker.eof and not unpacker.unconsumed_tail
    return part if is_whole and _digest(part) == digest else None


def join_chunks(
    digests: Iterable[bytes],
    chunks: Mapping[bytes, bytes],
) -> str | None:
    """Return a section's text from its chunks, or None if one is corrupt."""
    parts: list[bytes] = []
    for digest in digests:
        part = read_chunk(digest, chunks[digest])
        if part is None:
            return None
        parts.append(part)
    try:
        return b''.join(parts).decode()
    except UnicodeDecodeError:
        return None


def _compress(part: bytes) -> Chunk:
    return Chunk(_digest(part), zlib.compress(part))


def _digest(part: bytes) -> bytes:
    return hashlib.blake2b(part, digest_size=DIGEST_BYTES).digest()


def _cut_parts(text: bytes) -> Iterator[bytes]:
    part = bytearray()
    for line in text.splitlines(keepends=True):
        for start in range(0, len(line), MAX_CHUNK_BYTES):
            piece = line[start : start + MAX_CHUNK_BYTES]
            if len(part) + len(piece) > MAX_CHUNK_BYTES:
                yield bytes(part)
                part.clear()
            part += piece
        if len(part) >= MIN_CHUNK_BYTES and _ends_chunk(line):
            yield bytes(part)
            part.clear()
    if part:
        yield bytes(part)


def _ends_chunk(line: bytes) -> bool:
    return zlib.crc32(line) % LINES_PER_CHUNK == 0
