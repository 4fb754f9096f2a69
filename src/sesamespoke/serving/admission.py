"""Requests that wait for an endpoint, and which of them go next.

The load it answers: more work than the engines can do in time, most of it
from a few accounts. An engine that is given all of it answers everybody
late, since it admits requests in order of arrival. So requests wait here,
for at most a part of their objective; the account that was given least of
late goes first; what can't be served in that time is refused at once, with
the time after which its turn would have come. Looking for room takes the time
in which others are served, so that each look tries a bounded number.
"""

import asyncio
import random
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.job import Job
from sesamespoke.verdicts import Reason, Refusal, Verdict

MAX_WAIT_FRACTION = 0.4
"""The part of its objective that a request may wait here."""
SCHEDULING_INTERVAL_SECONDS = 0.04
"""How often waiting requests are tried without any other occasion."""
MIN_SCHEDULING_INTERVAL_SECONDS = 0.02
"""The least time between two looks: places that come free within it are
given out together."""
RATE_WINDOW_SECONDS = 2.0
"""Seconds over which the rate of grants is measured."""
MIN_QUEUE_LIMIT = 12
"""Requests of one account that may wait, whatever the rate of late. One that
was given nothing must show how much it asks for."""
MAX_TRIES_PER_ACCOUNT = 8
"""Waiting requests of one account that are tried; the first one's endpoint
may be full while the next one's has room."""
MAX_TRIES_PER_PASS = 16
"""Waiting requests that one look tries: a millisecond's work or two. Accounts
that it has tried in vain come after the others in the next one."""
OUTPUT_TOKEN_COST = 2.0
"""What a generated token costs against one that is read."""
MIN_RETRY_AFTER = 0.3
MAX_RETRY_AFTER = 4.0
"""Bounds in seconds; a caller's patience is a third of its time left."""
RETRY_AFTER_JITTER = 0.3
"""Callers that were refused together return spread by this fraction."""

NO_ROOM = Reason(
    'no_room',
    503,
    'server_error',
    'no endpoint can take the request in time',
)

GrantT = TypeVar('GrantT')
Reserve = Callable[[Job, float], GrantT | None]


def cost_of(job: Job) -> float:
    """Return what a request costs its account, in tokens read."""
    prompt = job.prompt
    output = prompt.expected_output or prompt.max_output
    return max(1, prompt.input_tokens + OUTPUT_TOKEN_COST * output)


@dataclass(slots=True, eq=False)
class _Waiter(Generic[GrantT]):
    job: Job
    fut: asyncio.Future[GrantT | Refusal]
    give_up_at: float
    reserve: Reserve[GrantT]


_Queue = list[_Waiter[GrantT]]


class AdmissionQueue(Generic[GrantT]):
    """One service's requests that wait at this router.

    A request's ``reserve`` returns its grant, or None while there is no room
    up to the fill of endpoints that it is given, 1 for all of it.
    """

    def __init__(
        self,
        shares: FairShares,
        clock: Callable[[], float],
        release: Callable[[GrantT], None],
    ) -> None:
        """Start empty.

        ``shares`` is common to the rooms of all services; ``release``
        takes the grant of a caller that has just gone.
        """
        self.on_request: Callable[[str, float], None] = _ignore
        self.on_grant: Callable[[str, float], None] = _ignore
        self._shares = shares
        self._release = release
        self._clock = clock
        self._queues: dict[str, _Queue[GrantT]] = {}
        self._granted: deque[float] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._tried: set[str] = set()
        self._looked_at: float = 0
        self.waiting = 0

    async def admit(
        self,
        job: Job,
        reserve: Reserve[GrantT],
        *,
        is_retry: bool = False,
    ) -> GrantT | Refusal:
        """Return a grant as soon as there is room, or a refusal.

        A retry has waited already, and may have a part of its answer: it
        is held as long again, however many wait.
        """
        if not is_retry:
            self._note_asked(job)
        if job.account not in self._queues:
            grant = reserve(job, self._shares.room(job.account))
            if grant is not None:
                self._note_grant(job)
                return grant
        hold = job.route.objective * MAX_WAIT_FRACTION
        begins_at = self._clock() if is_retry else job.arrived_at
        give_up_at = min(begins_at + hold, job.deadline)
        hopeless = not is_retry and self._is_hopeless(job, hold)
        if hopeless or self._clock() >= give_up_at:
            return self.refuse()
        waiter = _Waiter(
            job,
            asyncio.get_running_loop().create_future(),
            give_up_at,
            reserve,
        )
        self._add(waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def log_fields(self, account: str) -> dict[str, object]:
        """Return what decides on an account's turn, for the log."""
        return {
            'waiting': self.waiting,
            'account_waiting': len(self._queues.get(account, ())),
            'account_tokens': round(self._shares.used(account)),
            'account_share': round(self._shares.share() or 0),
            'account_room': round(self._shares.room(account), 2),
        }

    def refuse(self) -> Refusal:
        """Return a refusal that tells when to come back."""
        wait = (self.waiting + 1) / self._rate()
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        spread = random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
        return Refusal(NO_ROOM, Verdict.NOT_RUN, retry_after=wait * spread)

    def schedule(self) -> None:
        """Give what has room to the accounts that were given least."""
        self._looked_at = self._clock()
        self._give_up()
        left = MAX_TRIES_PER_PASS
        full: set[str] = set()
        while left > 0 and len(full) < len(self._queues):
            account = self._next_account(full)
            granted, tries = self._grant_one(account, left)
            left -= tries
            if not granted:
                full.add(account)
        self._tried |= full
        if self._tried >= self._queues.keys():
            self._tried.clear()

    def schedule_soon(self) -> None:
        """Look for room shortly: a place has come free."""
        if self.waiting:
            ready_at = self._looked_at + MIN_SCHEDULING_INTERVAL_SECONDS
            self._wait_to_pump(max(0, ready_at - self._clock()))

    def _next_account(self, full: set[str]) -> str:
        """Return whose turn it is: who was given least, but for the full.

        Those that were tried in vain of late come after the others.
        """
        return min(
            self._queues.keys() - full,
            key=lambda name: (name in self._tried, self._shares.used(name)),
        )

    def _grant_one(self, account: str, most: int) -> tuple[bool, int]:
        """Grant the most urgent request of an account that has room.

        Returns whether there was one, and how many were tried.
        """
        fill = self._shares.room(account)
        waiters = self._queues[account][: min(MAX_TRIES_PER_ACCOUNT, most)]
        for tries, waiter in enumerate(waiters, start=1):
            grant = waiter.reserve(waiter.job, fill)
            if grant is not None:
                self._note_grant(waiter.job)
                self._remove(waiter)
                waiter.fut.set_result(grant)
                return True, tries
        return False, len(waiters)

    def _is_hopeless(self, job: Job, hold: float) -> bool:
        """Return whether a request's turn would come too late."""
        queue = self._queues.get(job.account, ())
        if len(queue) < MIN_QUEUE_LIMIT:
            return False
        accounts = len(self._queues) + (not queue)
        before = min(self.waiting, len(queue) * accounts)
        return before >= self._rate() * hold

    def _rate(self) -> float:
        """Return grants a second, of late."""
        now = self._clock()
        while self._granted and self._granted[0] < now - RATE_WINDOW_SECONDS:
            self._granted.popleft()
        return max(1, len(self._granted)) / RATE_WINDOW_SECONDS

    def _note_asked(self, job: Job) -> None:
        cost = cost_of(job)
        self._shares.ask(job.account, cost)
        self.on_request(job.account, cost)

    def _note_grant(self, job: Job) -> None:
        self._granted.append(self._clock())
        cost = cost_of(job)
        self._shares.add(job.account, cost)
        self.on_grant(job.account, cost)

    def _add(self, waiter: _Waiter[GrantT]) -> None:
        queue = self._queues.setdefault(waiter.job.account, [])
        insort(queue, waiter, key=_urgency_of)
        self.waiting += 1
        if self._timer is None:
            self._wait_to_pump(SCHEDULING_INTERVAL_SECONDS)

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
            self._release(grant)

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

    def _wait_to_pump(self, seconds: float) -> None:
        """Look for room after some seconds, or earlier if that is due."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + seconds:
                return
            self._timer.cancel()
        self._timer = loop.call_later(seconds, self._pump_again)

    def _pump_again(self) -> None:
        self._timer = None
        self.schedule()
        if self.waiting:
            self._wait_to_pump(SCHEDULING_INTERVAL_SECONDS)


def _urgency_of(waiter: _Waiter[GrantT]) -> tuple[int, float]:
    """Return the order within an account: rank, then due time."""
    job = waiter.job
    return job.priority, job.arrived_at + job.route.objective


def _ignore(account: str, cost: float) -> None:
    """Take no notice of what was asked or granted."""
