"""An answer that an engine sends a second time, unasked."""

import json
from collections.abc import Iterable

from sesamespoke.stand_ins.generation import Generation


def repeat_response(gen: Generation, id_header: str) -> bytes:
    """Return a second, unasked response with the same answer."""
    body = json.dumps(gen.completion()).encode()
    kind = 'application/json'
    if gen.prompt.streaming:
        body = b''.join(_events(gen))
        kind = 'text/event-stream'
    request_id = gen.answered.request_id
    lines = (
        'HTTP/1.1 200 OK',
        f'{id_header}: {request_id}',
        f'Content-Type: {kind}',
        f'Content-Length: {len(body)}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode() + body


def _events(gen: Generation) -> Iterable[bytes]:
    for index in range(gen.generated):
        yield gen.event(index)
    yield gen.last_events()
