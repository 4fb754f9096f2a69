"""What a request of the chat-completions protocol says of its prompt."""

import json
from collections.abc import Mapping
from typing import cast

import xxhash

PREFIX_CHARACTERS = 1024


def prefix_of(asked: Mapping[str, object]) -> bytes:
    """Return a name of the beginning of a prompt, empty if there is none."""
    messages = asked.get('messages')
    if not isinstance(messages, list) or not messages:
        return b''
    beginning = json.dumps(messages[0])[:PREFIX_CHARACTERS]
    return xxhash.xxh3_64_digest(beginning.encode())


def shared_parts_of(asked: Mapping[str, object]) -> tuple[str, ...]:
    """Return a name of each message but the last, which is the caller's."""
    messages = asked.get('messages')
    if not isinstance(messages, list):
        return ()
    return tuple(
        xxhash.xxh3_64_hexdigest(json.dumps(message).encode())
        for message in messages[:-1]
    )


def hint_of(asked: Mapping[str, object]) -> float | None:
    """Return the caller's bound on output tokens, if there is one."""
    bound = asked.get('max_completion_tokens', asked.get('max_tokens'))
    if isinstance(bound, int | float) and bound > 0:
        return float(cast(float, bound))
    return None
