"""Continuous batching: one ticker gives each running request a token."""

import asyncio
from collections import Counter
from collections.abc import Callable

from sesamespoke.stand_ins.engine_record import EngineRecord
from sesamespoke.stand_ins.generation import Generation
from sesamespoke.stand_ins.language_settings import (
    LanguageEngineSettings,
    LanguageFaults,
)
from sesamespoke.stand_ins.prefix_cache import PrefixCache


class Batch:
    """The requests that an engine holds, waiting for prefill or running."""

    def __init__(
        self,
        cfg: LanguageEngineSettings,
        record: EngineRecord,
        crash: Callable[[], None],
    ) -> None:
        """Start empty; ``crash`` is called on a marked request."""
        self.faults = LanguageFaults()
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self.is_cold = not cfg.starts_warm
        self._cfg = cfg
        self._record = record
        self._crash = crash
        self._cache = PrefixCache(cfg.cache_tokens)
        self._completed_while_cold = 0
        self._prefill_free_at = float(0)
        self._has_work = asyncio.Event()

    def count_cold(self) -> int:
        """Return how many were taken since the engine turned cold."""
        held = (*self.waiting, *self.running)
        return sum(gen.held_while_cold for gen in held)

    def add(self, gen: Generation) -> None:
        """Take a request; its prefill waits for those before it."""
        now = asyncio.get_running_loop().time()
        cfg = self._cfg
        gen.cached_tokens = self._cache.lookup(gen.prompt.text)
        fresh = max(0, gen.prompt.input_tokens - gen.cached_tokens)
        work = fresh + gen.cached_tokens * cfg.cached_prefill_ratio
        start = max(now, self._prefill_free_at)
        factor = cfg.cold_factor if self.is_cold else 1
        gen.ready_at = start + work * cfg.prefill_per_token * factor
        self._prefill_free_at = gen.ready_at
        self._record.runs[gen.prompt.request_id] += 1
        self._hold(gen)
        self.waiting.append(gen)

    def resume(self, gen: Generation) -> None:
        """Take a request up again where it was left."""
        self._record.resumed += 1
        self._hold(gen)
        self.running.append(gen)

    def remove(self, gen: Generation) -> bool:
        """Stop generating for a request; tell whether it was held."""
        for held in (self.waiting, self.running):
            if gen in held:
                held.remove(gen)
                self._record.cancelled += 1
                return True
        return False

    def reset(self) -> list[Generation]:
        """Turn cold and empty; return the requests that were held."""
        lost = [*self.waiting, *self.running]
        self.waiting.clear()
        self.running.clear()
        self._cache.clear()
        self._prefill_free_at = 0
        self.turn_cold()
        return lost

    def turn_cold(self) -> None:
        """Bear little again, from the next request on."""
        self.is_cold = True
        self._completed_while_cold = 0
        for gen in (*self.waiting, *self.running):
            gen.held_while_cold = False

    async def run(self) -> None:
        """Step for ever, at the pace that the load allows."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            if not self.waiting and not self.running:
                self._has_work.clear()
                await self._has_work.wait()
                next_at = loop.time()
            next_at = max(next_at + self._step_seconds(), loop.time())
            await asyncio.sleep(next_at - loop.time())
            if not self.faults.stall:
                self._step(loop.time())

    def _hold(self, gen: Generation) -> None:
        gen.held_while_cold = self.is_cold
        self._has_work.set()

    def _step_seconds(self) -> float:
        cfg = self._cfg
        pace = cfg.step + cfg.step_per_request * len(self.running)
        return pace * cfg.cold_factor if self.is_cold else pace

    def _step(self, now: float) -> None:
        self._begin(now)
        generated: Counter[str] = Counter()
        for gen in tuple(self.running):
            self._advance(gen, now)
            generated[gen.prompt.account] += 1
            self._record.tokens[gen.prompt.request_id].generated += 1
        for account, count in generated.items():
            self._record.add(now, account, generated=count)

    def _begin(self, now: float) -> None:
        ready = [gen for gen in self.waiting if gen.ready_at <= now]
        for gen in ready:
            if self._cfg.crash_marker in gen.prompt.text:
                self._crash()
                return
            self.waiting.remove(gen)
            self.running.append(gen)
            read = gen.prompt.input_tokens
            self._record.tokens[gen.prompt.request_id].read += read
            self._record.add(now, gen.prompt.account, read=read)

    def _advance(self, gen: Generation, now: float) -> None:
        index = gen.generated
        gen.generated = index + 1
        if gen.write:
            gen.write(gen.event(index))
        if gen.is_whole:
            self._finish(gen, now)

    def _finish(self, gen: Generation, now: float) -> None:
        self.running.remove(gen)
        gen.ended_at = now
        self._record.completed += 1
        if self.is_cold:
            self._completed_while_cold += 1
            if self._completed_while_cold >= self._cfg.warm_after:
                self.is_cold = False
        if not gen.done.done():
            gen.done.set_result(True)
