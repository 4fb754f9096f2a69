"""One request at a language engine, and the answer that it generates."""

import asyncio
import hashlib
import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from sesamespoke.stand_ins.prefix_cache import count_tokens
from sesamespoke.stand_ins.serving import JSONObject

DIGEST_LENGTH = 12
MAX_TOKENS = 4096


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks for."""

    request_id: str
    account: str
    model: str
    text: str
    streaming: bool
    usage_wanted: bool
    max_tokens: int
    wanted_tokens: int

    @property
    def digest(self) -> str:
        """Return what every token of the answer begins with."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:DIGEST_LENGTH]

    @property
    def input_tokens(self) -> int:
        """Return the length of the prompt."""
        return count_tokens(self.text)

    @property
    def output_tokens(self) -> int:
        """Return the length of the answer."""
        return max(1, min(self.max_tokens, self.wanted_tokens))


def read_prompt(
    body: JSONObject,
    request_id: str,
    account: str,
    mean_tokens: float,
) -> Prompt:
    """Return the prompt of a chat-completions body.

    The answer's length is ``metadata.output_tokens`` where it is given, and
    otherwise follows from the text by an exponential distribution.
    """
    text = '\n'.join(read_message(message) for message in body['messages'])
    options = body.get('stream_options') or {}
    metadata = body.get('metadata') or {}
    bound = body.get('max_completion_tokens') or body.get('max_tokens')
    drawn = draw_length(text, mean_tokens)
    return Prompt(
        request_id=request_id,
        account=account,
        model=str(body.get('model', '')),
        text=text,
        streaming=bool(body.get('stream')),
        usage_wanted=bool(options.get('include_usage')),
        max_tokens=int(bound or MAX_TOKENS),
        wanted_tokens=int(metadata.get('output_tokens') or drawn),
    )


def read_message(message: object) -> str:
    """Return one message of a chat as text."""
    if not isinstance(message, dict):
        raise TypeError('a message is an object')
    role = message.get('role', '')
    content = message.get('content', '')
    return f'{role}: {content}'


def draw_length(text: str, mean: float) -> int:
    """Return an exponentially distributed length that the text decides."""
    digest = hashlib.sha256(text.encode()).digest()
    fraction = int.from_bytes(digest[:4], 'big') / 2**32
    return 1 + int(-math.log(1 - fraction) * mean)


def answer_token(digest: str, index: int) -> str:
    """Return one token of the answer to the prompt with this digest."""
    return f'{digest}-{index} '


def expected_answer(prompt: Prompt) -> str:
    """Return the whole answer, for callers that check what they got."""
    return ''.join(
        answer_token(prompt.digest, index)
        for index in range(prompt.output_tokens)
    )


Write = Callable[[bytes], None]


@dataclass(slots=True)
class Generation:
    """A prompt on its way through the engine.

    ``answered`` is the prompt whose answer is sent: another one's where
    answers are crossed. ``done`` resolves to whether the answer is whole.
    """

    prompt: Prompt
    answered: Prompt
    done: asyncio.Future[bool]
    write: Write | None = None
    cached_tokens: int = 0
    generated: int = 0
    ready_at: float = 0
    held_while_cold: bool = False
    cut_at: int = 0
    ended_at: float = 0
    created: int = 0
    head: bytes = field(default=b'')

    def prepare(self, created: int) -> None:
        """Set the constant beginning of all events."""
        self.created = created
        frame: JSONObject = {
            'id': self._completion_id(),
            'object': 'chat.completion.chunk',
            'created': created,
            'model': self.answered.model,
        }
        self.head = json.dumps(frame)[:-1].encode()

    @property
    def is_whole(self) -> bool:
        """Return whether every token was generated."""
        return self.generated >= self.answered.output_tokens

    @property
    def finish_reason(self) -> str:
        """Return why generation ended, in the protocol's words."""
        prompt = self.answered
        cut_short = prompt.wanted_tokens > prompt.max_tokens
        return 'length' if cut_short else 'stop'

    def event(self, index: int) -> bytes:
        """Return the event of one token; ids count from 1."""
        token = answer_token(self.answered.digest, index)
        return (
            b'id: %d\ndata: %s, "choices": [{"index": 0, "delta": '
            b'{"content": "%s"}, "finish_reason": null}]}\n\n'
        ) % (index + 1, self.head, token.encode())

    def last_events(self, seen: int = 0) -> bytes:
        """Return the events after the last token that were not seen."""
        number = self.answered.output_tokens + 1
        events = [] if number <= seen else [self._finish_event(number)]
        if self.prompt.usage_wanted:
            events.append(self._usage_event(number + 1))
        events.append(b'data: [DONE]\n\n')
        return b''.join(events)

    def usage(self) -> JSONObject:
        """Return the usage object."""
        prompt = self.answered
        return {
            'prompt_tokens': prompt.input_tokens,
            'completion_tokens': self.generated,
            'total_tokens': prompt.input_tokens + self.generated,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }

    def completion(self) -> JSONObject:
        """Return the whole answer as one object."""
        message = {
            'role': 'assistant',
            'content': expected_answer(self.answered),
        }
        return {
            'id': self._completion_id(),
            'object': 'chat.completion',
            'created': self.created,
            'model': self.answered.model,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': self.finish_reason,
                }
            ],
            'usage': self.usage(),
        }

    def _completion_id(self) -> str:
        request_id = self.answered.request_id
        return f'chatcmpl-{request_id}'

    def _finish_event(self, number: int) -> bytes:
        return (
            b'id: %d\ndata: %s, "choices": [{"index": 0, "delta": {}, '
            b'"finish_reason": "%s"}]}\n\n'
        ) % (number, self.head, self.finish_reason.encode())

    def _usage_event(self, number: int) -> bytes:
        usage = json.dumps(self.usage()).encode()
        return b'id: %d\ndata: %s, "choices": [], "usage": %s}\n\n' % (
            number,
            self.head,
            usage,
        )
