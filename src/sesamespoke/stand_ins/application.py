"""A stand-in of an application engine: any method and path.

It records each call that it ran, so that a doubled one is visible.
"""

import asyncio
import hashlib
from collections import Counter
from dataclasses import asdict, dataclass
from typing import cast

from sesamespoke.settings import Address
from sesamespoke.stand_ins.serving import (
    JSONObject,
    Listener,
    Rule,
    StandInHandler,
    faults,
    reading,
)

ACCOUNT_HEADER = 'X-Sesamespoke-Account'


@dataclass(frozen=True, slots=True)
class ApplicationEngineSettings:
    """Work time in seconds, calls at once, and the answer's size."""

    work_seconds: float = 0.02
    concurrency: int = 16
    answer_bytes: int = 200
    restart_seconds: float = 1
    key_header: str = 'Idempotency-Key'


@dataclass(slots=True)
class ApplicationFaults:
    """The faults in force; counters hit the next calls.

    ``crash_before`` closes without running, ``lose_replies`` runs and
    closes, ``cut_replies`` ends in the middle of the body, ``refuse``
    answers 503 without running, ``slow`` adds seconds of work.
    """

    crash_before: int = 0
    lose_replies: int = 0
    cut_replies: int = 0
    refuse: int = 0
    slow: float = 0


@dataclass(frozen=True, slots=True)
class Run:
    """One call that the engine ran; ``digest`` is of the body."""

    time: float
    method: str
    path: str
    key: str
    digest: str
    account: str
    seconds: float


class ApplicationEngine:
    """One application engine on one address."""

    def __init__(self, cfg: ApplicationEngineSettings | None = None) -> None:
        """Create an engine that does not listen yet."""
        self.cfg = cfg or ApplicationEngineSettings()
        self.faults = ApplicationFaults()
        self.runs: list[Run] = []
        self.listener = Listener()
        self._free = asyncio.Semaphore(self.cfg.concurrency)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.listener.url

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""
        options = {'listener': self.listener, 'engine': self}
        rules: list[Rule] = [
            reading('/record', self.listener, self.read_record),
            faults(self.listener, self.order_faults),
            ('/.*', CallHandler, options),
        ]
        return self.listener.start(rules, address)

    def stop(self) -> None:
        """Close everything."""
        self.listener.stop()

    def count_runs(self) -> Counter[str]:
        """Return how often each idempotency key was run."""
        return Counter(run.key for run in self.runs if run.key)

    def read_record(self) -> JSONObject:
        """Return the calls that were run, and the keys run twice."""
        counts = self.count_runs()
        return {
            'runs': [asdict(run) for run in self.runs],
            'doubled': [key for key, count in counts.items() if count > 1],
        }

    def order_faults(self, order: JSONObject) -> JSONObject:
        """Set the faults that an order names; return those in force."""
        changes = dict(order)
        if changes.pop('crash', False):
            self.crash()
        for name, setting in changes.items():
            if name not in ApplicationFaults.__slots__:
                raise ValueError(f'no such fault: {name}')
            setattr(self.faults, name, setting)
        return asdict(self.faults)

    def crash(self) -> None:
        """Close every connection and listen again later."""
        self.listener.cut()
        loop = asyncio.get_running_loop()
        loop.call_later(self.cfg.restart_seconds, self.listener.listen)

    def hits(self, name: str) -> bool:
        """Tell whether a counted fault hits this call."""
        left = int(getattr(self.faults, name))
        if left > 0:
            setattr(self.faults, name, left - 1)
        return left > 0

    async def run(self, run: Run) -> None:
        """Record a call, and work."""
        async with self._free:
            self.runs.append(run)
            await asyncio.sleep(run.seconds)


class CallHandler(StandInHandler):
    """Runs a call and answers it."""

    @property
    def engine(self) -> ApplicationEngine:
        """Return the engine of this route."""
        return cast(ApplicationEngine, self.facts['engine'])

    async def answer(self) -> None:
        """Run the call and answer, or fail as ordered."""
        engine = self.engine
        self.echo_request_id()
        if engine.hits('crash_before'):
            self.hang_up()
            return
        if engine.hits('refuse'):
            self.set_status(503)
            self.finish({'error': 'not run'})
            return
        run = self.describe()
        await engine.run(run)
        if self.stream.closed():
            return
        if engine.hits('lose_replies'):
            self.hang_up()
            return
        await self.reply(run, engine.hits('cut_replies'))

    get = answer
    head = answer
    post = answer
    put = answer
    delete = answer
    patch = answer

    def echo_request_id(self) -> None:
        """Return the request's id to its sender."""
        request_id = self.request.headers.get('X-Request-Id')
        if request_id:
            self.set_header('X-Request-Id', request_id)

    def describe(self) -> Run:
        """Return the record of this call."""
        cfg = self.engine.cfg
        headers = self.request.headers
        return Run(
            time=asyncio.get_running_loop().time(),
            method=str(self.request.method),
            path=self.request.uri or '',
            key=headers.get(cfg.key_header, ''),
            digest=hashlib.sha256(self.request.body).hexdigest(),
            account=headers.get(ACCOUNT_HEADER, ''),
            seconds=cfg.work_seconds + self.engine.faults.slow,
        )

    async def reply(self, run: Run, cut: bool) -> None:
        """Answer with the call's own digest; stop half way if cut."""
        text = {
            'method': run.method,
            'path': run.path,
            'key': run.key,
            'digest': run.digest,
            'run': self.engine.count_runs()[run.key] if run.key else 1,
            'padding': '.' * self.engine.cfg.answer_bytes,
        }
        if not cut:
            self.finish(text)
            return
        self.set_header('Content-Length', str(self.engine.cfg.answer_bytes))
        self.write('{"method": ')
        await self.flush()
        self.hang_up()
