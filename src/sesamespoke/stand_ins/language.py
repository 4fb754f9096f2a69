"""A stand-in of a language engine that speaks chat completions."""

import asyncio
import json
import time
from dataclasses import asdict
from typing import cast

from sesamespoke.settings import Address
from sesamespoke.stand_ins.batch import Batch
from sesamespoke.stand_ins.engine_memory import EndedStreams, LaggingLoad
from sesamespoke.stand_ins.engine_record import EngineRecord
from sesamespoke.stand_ins.generation import Generation, Prompt, read_prompt
from sesamespoke.stand_ins.language_settings import (
    LanguageEngineSettings,
    LanguageFaults,
)
from sesamespoke.stand_ins.repetition import repeat_response
from sesamespoke.stand_ins.serving import (
    JSONObject,
    Listener,
    Rule,
    StandInHandler,
    faults,
    reading,
)

ACCOUNT_HEADER = 'X-Sesamespoke-Account'
REQUEST_ID_HEADER = 'X-Request-Id'
RESUME_HEADER = 'Last-Event-ID'


class LanguageEngine:
    """One language engine on one address."""

    def __init__(self, cfg: LanguageEngineSettings | None = None) -> None:
        """Create an engine that does not listen yet."""
        self.cfg = cfg or LanguageEngineSettings()
        self.record = EngineRecord()
        self.listener = Listener()
        self.batch = Batch(self.cfg, self.record, self.crash)
        self.ended = EndedStreams(self.cfg.resume_within)
        self.load = LaggingLoad(self.cfg.metrics_lag)
        self._ticker: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.listener.url

    @property
    def faults(self) -> LanguageFaults:
        """Return the faults in force."""
        return self.batch.faults

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""
        self._ticker = asyncio.ensure_future(self.batch.run())
        options = {'listener': self.listener, 'engine': self}
        rules: list[Rule] = [
            ('/v1/chat/completions', CompletionsHandler, options),
            ('/metrics', MetricsHandler, options),
            reading('/v1/models', self.listener, self.read_models),
            reading('/record', self.listener, self.record.show),
            faults(self.listener, self.order_faults),
        ]
        return self.listener.start(rules, address)

    def stop(self) -> None:
        """Close everything."""
        if self._ticker:
            self._ticker.cancel()
        self.listener.stop()

    def order_faults(self, order: JSONObject) -> JSONObject:
        """Set the faults that an order names; return those in force."""
        changes = dict(order)
        if changes.pop('crash', False):
            self.crash()
        if changes.pop('turn_cold', False):
            self.batch.turn_cold()
        for name, setting in changes.items():
            if name not in LanguageFaults.__slots__:
                raise ValueError(f'no such fault: {name}')
            setattr(self.faults, name, setting)
        return asdict(self.faults)

    def crash(self) -> None:
        """Close every connection; come back cold after the restart."""
        self.record.crashes += 1
        self.listener.cut()
        for gen in self.batch.reset():
            if not gen.done.done():
                gen.done.set_result(False)
        self.ended.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(self.cfg.restart, self.listener.listen)

    def admit(self, gen: Generation) -> None:
        """Run a request; fall over if a cold engine then holds too many."""
        self.batch.add(gen)
        self._watch_cold()

    def resume(self, gen: Generation) -> None:
        """Go on with a stream, unless every token was generated."""
        gen.done = asyncio.get_running_loop().create_future()
        if gen.is_whole:
            gen.done.set_result(True)
            return
        self.batch.resume(gen)
        self._watch_cold()

    def leave(self, gen: Generation) -> None:
        """Stop a request whose caller went away; keep it for a while."""
        if self.batch.remove(gen):
            self.ended.keep(gen)
        if not gen.done.done():
            gen.done.set_result(False)

    def choose_answered(self, prompt: Prompt) -> Prompt:
        """Return the prompt to answer: another one's if crossed."""
        others = (*self.batch.running, *self.batch.waiting)
        if others and self.faults.take('cross'):
            return others[0].prompt
        return prompt

    def read_models(self) -> JSONObject:
        """Return the list of models."""
        return {
            'object': 'list',
            'data': [
                {'id': model, 'object': 'model', 'owned_by': 'stand-in'}
                for model in self.cfg.models
            ],
        }

    def observe_load(self) -> None:
        """Take a reading of the load for the metrics page."""
        batch = self.batch
        self.load.observe(len(batch.running), len(batch.waiting))

    def _watch_cold(self) -> None:
        self.observe_load()
        if not self.batch.is_cold:
            return
        held = self.batch.count_cold()
        self.record.most_while_cold = max(self.record.most_while_cold, held)
        if held > self.cfg.cold_bears:
            self.record.falls += 1
            self.crash()


class EngineHandler(StandInHandler):
    """A handler that knows its engine."""

    @property
    def engine(self) -> LanguageEngine:
        """Return the engine of this route."""
        return cast(LanguageEngine, self.facts['engine'])


class MetricsHandler(EngineHandler):
    """Shows the lagging load."""

    def get(self) -> None:
        """Return the page in the Prometheus text format."""
        _, running, waiting = self.engine.load.read()
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(
            '# TYPE engine_requests_running gauge\n'
            f'engine_requests_running {running}\n'
            '# TYPE engine_requests_waiting gauge\n'
            f'engine_requests_waiting {waiting}\n'
        )


class CompletionsHandler(EngineHandler):
    """Answers chat completions, whole or as a stream of events."""

    def initialize(self, listener: Listener, **options: object) -> None:
        """Take the route's options; nothing is generated yet."""
        super().initialize(listener, **options)
        self._gen: Generation | None = None
        self._seen = 0

    async def post(self) -> None:
        """Run or resume a request."""
        if self.engine.faults.take('refuse'):
            self._refuse(503, 'overloaded')
            return
        try:
            prompt = self._read_prompt()
        except (ValueError, LookupError, TypeError):
            self._refuse(400, 'the body is no chat completion')
            return
        if prompt.model not in self.engine.cfg.models:
            self._refuse(404, 'no such model')
            return
        resumed = self._find_resumed(prompt)
        if resumed:
            await self._resume(resumed)
        else:
            await self._run(prompt)

    def on_connection_close(self) -> None:
        """Stop generating for a caller who went away."""
        if self._gen:
            self.engine.leave(self._gen)

    def _read_prompt(self) -> Prompt:
        headers = self.request.headers
        return read_prompt(
            self.read_json(),
            headers.get(REQUEST_ID_HEADER, ''),
            headers.get(ACCOUNT_HEADER, ''),
            self.engine.cfg.mean_output_tokens,
        )

    def _find_resumed(self, prompt: Prompt) -> Generation | None:
        if RESUME_HEADER in self.request.headers and prompt.streaming:
            return self.engine.ended.take(prompt.request_id)
        return None

    async def _run(self, prompt: Prompt) -> None:
        engine = self.engine
        answered = engine.choose_answered(prompt)
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        gen = Generation(prompt, answered, done)
        gen.prepare(int(time.time()))
        if engine.faults.take('cut'):
            gen.cut_at = 1 + answered.output_tokens // 2
        repeats = engine.faults.take('repeat')
        self._gen = gen
        if prompt.streaming:
            self._open_stream(gen)
        engine.admit(gen)
        if await done:
            await self._complete(gen, repeats)

    async def _resume(self, gen: Generation) -> None:
        self._seen = int(self.request.headers[RESUME_HEADER])
        self._gen = gen
        self._open_stream(gen)
        for index in range(self._seen, gen.generated):
            self._send(gen.event(index))
        self.engine.resume(gen)
        if await gen.done:
            await self._complete(gen, repeats=False)

    def _open_stream(self, gen: Generation) -> None:
        self._set_head(gen)
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-cache')
        self.flush()
        gen.write = self._send

    def _send(self, events: bytes) -> None:
        """Write a chunk below Tornado, which the token rate needs."""
        if self.stream.closed():
            return
        self.stream.write(b'%x\r\n%s\r\n' % (len(events), events))
        gen = self._gen
        if gen and gen.cut_at and gen.generated >= gen.cut_at:
            gen.cut_at = 0
            self.hang_up()

    async def _complete(self, gen: Generation, repeats: bool) -> None:
        self.engine.observe_load()
        if self.stream.closed():
            return
        if gen.prompt.streaming:
            self._send(gen.last_events(self._seen))
            self.engine.ended.keep(gen)
        elif gen.cut_at:
            self.hang_up()
            return
        else:
            self._set_head(gen)
            self.set_header('Content-Type', 'application/json')
            self.write(json.dumps(gen.completion()))
        stream = self.stream
        self._gen = None
        await self.finish()
        if repeats and not stream.closed():
            stream.write(repeat_response(gen, REQUEST_ID_HEADER))

    def _set_head(self, gen: Generation) -> None:
        self.set_header(REQUEST_ID_HEADER, gen.answered.request_id)

    def _refuse(self, status: int, text: str) -> None:
        self.set_status(status)
        self.finish(
            {'error': {'message': text, 'type': 'invalid_request_error'}}
        )
