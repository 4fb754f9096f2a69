"""The prompt prefixes that an engine keeps in limited memory."""

import hashlib
from collections import OrderedDict

BLOCK_TOKENS = 64
CHARACTERS_PER_TOKEN = 4

_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def _hash_blocks(prompt: str) -> list[bytes]:
    chain = hashlib.sha256()
    hashes = []
    whole = len(prompt) - len(prompt) % _BLOCK_CHARACTERS
    for start in range(0, whole, _BLOCK_CHARACTERS):
        chain.update(prompt[start : start + _BLOCK_CHARACTERS].encode())
        hashes.append(chain.copy().digest())
    return hashes


class PrefixCache:
    """Blocks of prompt prefixes; the least recently used go first."""

    def __init__(self, max_tokens: int) -> None:
        """Start empty."""
        self._max_blocks = max_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def lookup(self, prompt: str) -> int:
        """Return the cached tokens of a prompt and keep all its blocks."""
        hashes = _hash_blocks(prompt)
        known = 0
        for block in hashes:
            if block not in self._blocks:
                break
            known += 1
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return known * BLOCK_TOKENS

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()
