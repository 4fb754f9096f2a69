"""The chunks that a host has in memory, by digest."""

from collections.abc import Iterable, Mapping

from sesamespoke.document_chunks import Chunk, join_chunks, read_chunk
from sesamespoke.document_root import Root


class ChunkCache:
    """Compressed chunks of the latest revisions."""

    def __init__(self) -> None:
        """Begin empty."""
        self._chunks: dict[bytes, bytes] = {}

    def __contains__(self, digest: bytes) -> bool:
        """Return whether a chunk is here."""
        return digest in self._chunks

    def find(self, digest: bytes) -> bytes:
        """Return a chunk, or nothing."""
        return self._chunks.get(digest, b'')

    def add(self, digest: bytes, content: bytes) -> bool:
        """Keep a chunk that is sound; return whether it is."""
        if digest in self._chunks:
            return True
        if read_chunk(digest, content) is None:
            return False
        self._chunks[digest] = content
        return True

    def add_all(self, chunks: Iterable[Chunk]) -> None:
        """Keep chunks that were made here."""
        for chunk in chunks:
            self._chunks[chunk.digest] = chunk.content

    def missing(self, root: Root) -> frozenset[bytes]:
        """Return the digests of a root's chunks that are not here."""
        return root.digests() - self._chunks.keys()

    def chunks(self, root: Root) -> list[Chunk]:
        """Return all chunks of a root that are here."""
        here = sorted(root.digests() & self._chunks.keys())
        return [Chunk(digest, self._chunks[digest]) for digest in here]

    def keep(self, roots: Iterable[Root]) -> None:
        """Drop all chunks but those of some roots."""
        kept: set[bytes] = set()
        for root in roots:
            kept |= root.digests()
        for digest in self._chunks.keys() - kept:
            del self._chunks[digest]

    def texts(self, root: Root) -> Mapping[str, str] | None:
        """Return the sections' texts of a root, or None if one is broken."""
        texts: dict[str, str] = {}
        for section, ref in root.sections.items():
            text = join_chunks(ref.digests, self._chunks)
            if text is None:
                return None
            texts[section] = text
        return texts
