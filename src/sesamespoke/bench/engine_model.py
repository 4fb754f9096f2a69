"""A model of an engine that batches, reads prompts in chunks and caches.

Each step generates one token for every request in the batch that has been
read, and reads a chunk of the prompt that came first. Prompts are kept until
memory is needed; a beginning that is kept is not read again. Source of the
way of batching: Agrawal et al., "Taming throughput-latency tradeoff in LLM
inference with Sarathi-Serve", OSDI 2024.
"""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sesamespoke.serving.job import Prompt

SECONDS_PER_MS = 0.001


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How fast an engine works; times in milliseconds."""

    slots: int = 64
    cache_tokens: int = 422_000
    step: float = 2.6
    step_per_slot: float = 0.12
    step_per_context: float = 3.84e-6
    read_per_ms: float = 48.2
    chunk: int = 2048


@dataclass(slots=True, eq=False)
class Generation:
    """A request at an engine; ``first`` is done with its first token."""

    prompt: Prompt
    output: int
    first: asyncio.Future[None]
    last: asyncio.Future[None]
    to_read: int = 0
    made: int = 0
    cancelled: bool = False

    @property
    def tokens(self) -> int:
        """Return the memory that the request takes."""
        return self.prompt.input_tokens + self.made


@dataclass(slots=True)
class Counters:
    """What the engine has done, in tokens; ``again`` was read before."""

    read: int = 0
    again: int = 0
    kept: int = 0


class EngineModel:
    """One engine on the loop's clock."""

    def __init__(self, speed: EngineSpeed) -> None:
        """Start idle and with an empty cache."""
        self.counters = Counters()
        self._speed = speed
        self._waiting: deque[Generation] = deque()
        self._running: list[Generation] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._seen: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def submit(self, prompt: Prompt, output: int) -> Generation:
        """Take a request; it waits its turn in order of arrival."""
        loop = asyncio.get_running_loop()
        generation = Generation(
            prompt, output, loop.create_future(), loop.create_future()
        )
        self._waiting.append(generation)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._work())
        return generation

    async def _work(self) -> None:
        while self._waiting or self._running:
            self._admit()
            await asyncio.sleep(self._step() * SECONDS_PER_MS)
            self._generate()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            generation = self._waiting[0]
            needed = sum(each.tokens for each in self._running)
            if needed + generation.tokens > self._speed.cache_tokens:
                return
            self._waiting.popleft()
            generation.to_read = self._find_unread(generation.prompt)
            self._running.append(generation)
            self._evict()

    def _find_unread(self, prompt: Prompt) -> int:
        """Return the tokens to read, and keep the shared beginning."""
        unread = prompt.input_tokens
        for part in prompt.shared_parts:
            if part.name in self._cache:
                unread -= part.tokens
                self.counters.kept += part.tokens
            elif part.name in self._seen:
                self.counters.again += part.tokens
            self._seen.add(part.name)
            self._cache[part.name] = part.tokens
            self._cache.move_to_end(part.name)
        return unread

    def _evict(self) -> None:
        needed = sum(each.tokens for each in self._running)
        room = self._speed.cache_tokens - needed
        while self._cache and sum(self._cache.values()) > room:
            self._cache.popitem(last=False)

    def _step(self) -> float:
        """Read a chunk; return the step's time in milliseconds."""
        speed = self._speed
        took = speed.step + speed.step_per_slot * len(self._running)
        context = sum(each.tokens for each in self._running)
        took += speed.step_per_context * context
        chunk = speed.chunk
        for generation in self._running:
            part = min(chunk, generation.to_read)
            generation.to_read -= part
            chunk -= part
            self.counters.read += part
        return took + (speed.chunk - chunk) / speed.read_per_ms

    def _generate(self) -> None:
        for generation in tuple(self._running):
            if generation.to_read and not generation.cancelled:
                continue
            generation.made += 1
            if not generation.first.done():
                generation.first.set_result(None)
            if generation.made >= generation.output or generation.cancelled:
                self._running.remove(generation)
                self._leave(generation)

    def _leave(self, generation: Generation) -> None:
        """Keep the rest of a prompt, which nobody else begins with."""
        own = generation.prompt.parts[-1] if generation.prompt.parts else None
        if own is not None:
            self._cache[own.name] = own.tokens + generation.made
            self._evict()
        if not generation.last.done():
            generation.last.set_result(None)


@dataclass(slots=True)
class EngineGroup:
    """The engines of one service by name."""

    speed: EngineSpeed
    engines: dict[str, EngineModel] = field(default_factory=dict)

    def open(self, names: tuple[str, ...]) -> None:
        """Start engines."""
        for name in names:
            self.engines[name] = EngineModel(self.speed)

    def counted(self) -> Counters:
        """Return what all engines have done."""
        counters = [engine.counters for engine in self.engines.values()]
        return Counters(
            sum(each.read for each in counters),
            sum(each.again for each in counters),
            sum(each.kept for each in counters),
        )
