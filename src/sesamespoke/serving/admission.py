"""Requests that wait for an endpoint, and which of them go next.

The load it answers: more work than the engines can do in time, most of it
from a few accounts. An engine that is given all of it answers everybody
late, since it admits requests in order of arrival. So requests wait here,
for at most a part of their objective; the account that was given least of
late goes first; what can't be served in that time is refused at once, with
the time after which its turn would have come.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesamespoke.serving.job import Job
from sesamespoke.verdicts import Reason, Refusal, Verdict

HOLD_FRACTION = 0.4
"""The part of its objective that a request may wait here."""
USAGE_SECONDS = 4.0
"""The time in which an account's past use loses its weight (1/e)."""
PUMP_SECONDS = 0.02
"""How often waiting requests are tried without any other occasion."""
RATE_WINDOW = 2.0
"""Seconds over which the rate of grants is measured."""
OUTPUT_COST = 2.0
"""What a generated token costs against one that is read."""
MIN_RETRY_AFTER = 0.3
MAX_RETRY_AFTER = 4.0
"""Bounds in seconds; a caller's patience is a third of its time left."""
SPREAD = 0.3
"""Callers that were refused together return spread by this fraction."""

NO_ROOM = Reason(
    'no_room',
    503,
    'server_error',
    'no endpoint can take the request in time',
)

GrantT = TypeVar('GrantT')


def cost_of(job: Job) -> float:
    """Return what a request costs its account, in tokens read."""
    prompt = job.prompt
    output = prompt.expected_output or prompt.max_output
    return max(1, prompt.input_tokens + OUTPUT_COST * output)


class Usage:
    """What each account was given of late; older use counts less."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any use."""
        self._clock = clock
        self._spent: dict[str, tuple[float, float]] = {}

    def of(self, account: str) -> float:
        """Return an account's use, faded to now."""
        amount, at = self._spent.get(account, (0, 0))
        if not amount:
            return 0
        return amount * math.exp((at - self._clock()) / USAGE_SECONDS)

    def add(self, account: str, cost: float) -> None:
        """Charge an account."""
        self._spent[account] = (self.of(account) + cost, self._clock())


@dataclass(slots=True, eq=False)
class _Waiter(Generic[GrantT]):
    job: Job
    fut: asyncio.Future[GrantT | Refusal]
    give_up_at: float
    place: Callable[[Job], GrantT | None]


_Queue = deque[_Waiter[GrantT]]


class WaitingRoom(Generic[GrantT]):
    """One service's requests that wait at this router.

    A request's ``place`` returns its grant, or None while there is no room.
    """

    def __init__(
        self,
        usage: Usage,
        clock: Callable[[], float],
        give_back: Callable[[GrantT], None],
    ) -> None:
        """Start empty.

        ``usage`` is shared by the rooms of all services; ``give_back``
        takes the grant of a caller that has just gone.
        """
        self.on_grant: Callable[[str, float], None] = _ignore
        self._usage = usage
        self._give_back = give_back
        self._clock = clock
        self._queues: dict[str, _Queue[GrantT]] = {}
        self._granted: deque[float] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.waiting = 0

    async def admit(
        self,
        job: Job,
        place: Callable[[Job], GrantT | None],
    ) -> GrantT | Refusal:
        """Return a grant as soon as there is room, or a refusal."""
        if not self.waiting:
            grant = place(job)
            if grant is not None:
                self._note_grant(job)
                return grant
        hold = job.route.objective * HOLD_FRACTION
        give_up_at = min(job.arrived_at + hold, job.deadline)
        if self._clock() >= give_up_at or self._is_hopeless(job, hold):
            return self.refuse()
        waiter = _Waiter(
            job,
            asyncio.get_running_loop().create_future(),
            give_up_at,
            place,
        )
        self._add(waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def refuse(self) -> Refusal:
        """Return a refusal that tells when to come back."""
        wait = (self.waiting + 1) / self._rate()
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        spread = random.uniform(1 - SPREAD, 1 + SPREAD)  # noqa: S311
        return Refusal(NO_ROOM, Verdict.NOT_RUN, retry_after=wait * spread)

    def pump(self) -> None:
        """Give what has room to the accounts that were given least."""
        self._give_up()
        tried: set[str] = set()
        while len(tried) < len(self._queues):
            account = min(
                (name for name in self._queues if name not in tried),
                key=self._usage.of,
            )
            waiter = self._queues[account][0]
            grant = waiter.place(waiter.job)
            if grant is None:
                tried.add(account)
                continue
            self._note_grant(waiter.job)
            self._remove(waiter)
            waiter.fut.set_result(grant)

    def _is_hopeless(self, job: Job, hold: float) -> bool:
        """Return whether a request's turn would come too late."""
        queue = self._queues.get(job.account, ())
        accounts = len(self._queues) + (not queue)
        before = min(self.waiting, len(queue) * accounts)
        return before >= self._rate() * hold

    def _rate(self) -> float:
        """Return grants a second, of late."""
        now = self._clock()
        while self._granted and self._granted[0] < now - RATE_WINDOW:
            self._granted.popleft()
        return max(1, len(self._granted)) / RATE_WINDOW

    def _note_grant(self, job: Job) -> None:
        self._granted.append(self._clock())
        cost = cost_of(job)
        self._usage.add(job.account, cost)
        self.on_grant(job.account, cost)

    def _add(self, waiter: _Waiter[GrantT]) -> None:
        queue = self._queues.setdefault(waiter.job.account, deque())
        queue.append(waiter)
        self.waiting += 1
        if self._timer is None:
            self._wait_to_pump()

    def _remove(self, waiter: _Waiter[GrantT]) -> None:
        account = waiter.job.account
        queue = self._queues.get(account)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.waiting -= 1
        if not queue:
            del self._queues[account]

    def _forget(self, waiter: _Waiter[GrantT]) -> None:
        """Drop a request whose caller has gone, granted or not."""
        self._remove(waiter)
        if waiter.fut.cancelled() or not waiter.fut.done():
            return
        grant = waiter.fut.result()
        if not isinstance(grant, Refusal):
            self._give_back(grant)

    def _give_up(self) -> None:
        now = self._clock()
        late = [
            waiter
            for queue in self._queues.values()
            for waiter in queue
            if now >= waiter.give_up_at or waiter.fut.done()
        ]
        for waiter in late:
            self._remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_result(self.refuse())

    def _wait_to_pump(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PUMP_SECONDS, self._pump_again)

    def _pump_again(self) -> None:
        self._timer = None
        self.pump()
        if self.waiting:
            self._wait_to_pump()


def _ignore(account: str, cost: float) -> None:
    """Take no notice of a grant."""
