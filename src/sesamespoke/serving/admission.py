"""Admission of requests: a queue for each account, scheduled fairly.

This is designed for overload: more work than the engines can do in time, most
of it from a few accounts. Engines admit requests in order of arrival, so an
engine that is sent all of it is late for every account. Requests therefore
queue here for at most a fraction of their objective, and the account with the
least recent usage is scheduled first. Of an account that asks for more than
the fleet's level, only the part within it may queue (see ``fairness``). A
request that can't be served in that time is rejected at once, with a retry time
that matches the expected wait. A scheduling pass delays other work on the event
loop, so each pass tries a bounded number of requests.
"""

import asyncio
import random
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesamespoke.serving.fairness import MIN_UTILISATION_LIMIT, FairShares
from sesamespoke.serving.job import Job
from sesamespoke.verdicts import Reason, Refusal, Verdict

MAX_WAIT_FRACTION = 0.4
"""Fraction of its objective that a request may spend in the queue."""
SCHEDULING_INTERVAL_SECONDS = 0.04
"""Interval of scheduling passes while no other event starts one."""
MIN_SCHEDULING_INTERVAL_SECONDS = 0.02
"""Minimum time between two passes; slots that are released within it are
assigned by one pass."""
RATE_WINDOW_SECONDS = 2.0
"""Window over which the rate of grants is measured."""
MIN_QUEUE_LIMIT = 12
"""Requests of one account that may always wait, whatever the recent rate of
grants. An account without grants needs queued requests to show its demand."""
MAX_TRIES_PER_ACCOUNT = 8
"""Waiting requests of one account that a pass tries; the first one's endpoint
may be full while the next one's has free capacity."""
MAX_TRIES_PER_PASS = 16
"""Waiting requests that one pass tries, which takes 1 to 2 ms. Accounts that
it tried without success come after the others in the next pass."""
MAX_BEYOND_FACTOR = 3.0
"""Requests beyond the level are tried up to this multiple of it. Room that
appears in one moment would otherwise go to the account that asks for most."""
OUTPUT_TOKEN_COST = 2.0
"""Cost of a generated token, relative to a prompt token."""
MIN_RETRY_AFTER = 0.3
MAX_RETRY_AFTER = 4.0
"""Bounds in seconds; a caller waits for at most a third of its time left."""
RETRY_AFTER_JITTER = 0.3
"""Relative jitter, so that callers refused together don't retry together."""

NO_ROOM = Reason(
    'no_room',
    503,
    'server_error',
    'no endpoint can take the request in time',
)

OVER_SHARE = Reason(
    'over_share',
    503,
    'server_error',
    'the account is beyond its share, and no endpoint is little used',
)

GrantT = TypeVar('GrantT')
Reserve = Callable[[Job, float], GrantT | None]


def cost_of(job: Job) -> float:
    """Return the usage charged for a request, in prompt tokens."""
    prompt = job.prompt
    output = prompt.expected_output or prompt.max_output
    return max(1, prompt.input_tokens + OUTPUT_TOKEN_COST * output)


@dataclass(slots=True, eq=False)
class _Waiter(Generic[GrantT]):
    job: Job
    fut: asyncio.Future[GrantT | Refusal]
    expires_at: float
    reserve: Reserve[GrantT]
    is_retry: bool


_Queue = list[_Waiter[GrantT]]


class AdmissionQueue(Generic[GrantT]):
    """Requests for one service that wait at this router.

    ``reserve`` of a request takes a utilisation limit, where 1 is the full
    capacity. It returns a grant, or None while no endpoint has free capacity
    below that limit.
    """

    def __init__(
        self,
        shares: FairShares,
        clock: Callable[[], float],
        release: Callable[[GrantT], None],
    ) -> None:
        """Create an empty queue.

        ``shares`` is common to the queues of all services. ``release`` is
        called with a grant whose caller disconnected before using it.
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
        self._last_pass_at: float = 0
        self.waiting = 0

    async def admit(
        self,
        job: Job,
        reserve: Reserve[GrantT],
        *,
        is_retry: bool = False,
        was_tried: bool = False,
        rank: float = 0,
    ) -> GrantT | Refusal:
        """Return a grant as soon as capacity is free, or a refusal.

        ``rank`` is a random number from 0 to 1, the same for all attempts of a
        request: those of low rank are within their account's part of the work.

        A request that ``was_tried`` has waited before: its waiting time starts
        anew, and it is queued however many requests wait. If it may have run,
        it is also a retry. Part of the answer may have been delivered, so that
        it comes before the new requests and may use all capacity.
        """
        # A request's own demand would make a large one look beyond the level.
        part = self._part_of(job)
        if not was_tried:
            self._record_request(job)
        was_tried = was_tried or is_retry
        if rank >= part:
            is_near = rank < part * MAX_BEYOND_FACTOR
            return self._admit_beyond_level(job, reserve, is_near=is_near)
        max_wait = job.route.objective * MAX_WAIT_FRACTION
        may_wait = was_tried or not self._exceeds_wait(job, max_wait)
        # Those that wait may need endpoints that are full, and this one not.
        is_last_chance = not may_wait and self._shares.is_short(job.account)
        if was_tried or is_last_chance or job.account not in self._queues:
            grant = reserve(
                job, self._utilisation_limit(job, is_retry=is_retry)
            )
            if grant is not None:
                self._record_grant(job)
                return grant
        queued_at = self._clock() if was_tried else job.arrived_at
        expires_at = min(queued_at + max_wait, job.deadline)
        if not may_wait or self._clock() >= expires_at:
            return self.refuse()
        waiter = _Waiter(
            job,
            asyncio.get_running_loop().create_future(),
            expires_at,
            reserve,
            is_retry,
        )
        self._add(waiter)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._discard(waiter)
            raise

    def take_back(self, job: Job, granted_at: float) -> None:
        """Count a granted request as not served: its attempt has not run.

        ``granted_at`` is a time of this queue's clock.
        """
        age = self._clock() - granted_at
        left = self._shares.take_back_usage(job.account, cost_of(job), age)
        self.on_grant(job.account, -left)

    def _part_of(self, job: Job) -> float:
        """Return the part of such requests that is within the level, 0 to 1.

        The level is one of tokens; a call without any takes nothing from it.
        """
        if not job.prompt.input_tokens:
            return 1
        return self._shares.admitted_part(job.account)

    def _admit_beyond_level(
        self, job: Job, reserve: Reserve[GrantT], *, is_near: bool
    ) -> GrantT | Refusal:
        """Return a grant if an endpoint is little used, or a refusal."""
        grant = reserve(job, MIN_UTILISATION_LIMIT) if is_near else None
        if grant is None:
            return self.refuse(OVER_SHARE)
        self._record_grant(job)
        return grant

    def log_fields(self, job: Job) -> dict[str, object]:
        """Return what decides on a request's turn, as log fields."""
        account = job.account
        return {
            'tokens': round(cost_of(job)),
            'waiting': self.waiting,
            'account_waiting': len(self._queues.get(account, ())),
            'account_tokens': round(self._shares.used(account)),
            'account_asked': round(self._shares.asked(account)),
            'account_share': round(self._shares.fair_share() or 0),
            'account_even': round(self._shares.level() or 0),
            'account_part': round(self._shares.admitted_part(account), 2),
            'account_room': round(self._shares.utilisation_limit(account), 2),
        }

    def refuse(self, reason: Reason = NO_ROOM) -> Refusal:
        """Return a refusal with the time after which to retry."""
        wait = (self.waiting + 1) / self._rate()
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        jitter = random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)
        return Refusal(reason, Verdict.NOT_RUN, retry_after=wait * jitter)

    def refuse_all(self, refuse: Callable[[], Refusal]) -> None:
        """Refuse every waiting request, each with a refusal of its own."""
        waiters = [
            waiter for queue in self._queues.values() for waiter in queue
        ]
        for waiter in waiters:
            self._remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_result(refuse())

    def schedule(self) -> None:
        """Grant waiting requests, those of the least served account first."""
        self._last_pass_at = self._clock()
        self._reject_expired()
        tries_left = MAX_TRIES_PER_PASS
        blocked: set[str] = set()
        while tries_left > 0 and len(blocked) < len(self._queues):
            account = self._next_account(blocked)
            granted, tries = self._grant_one(account, tries_left)
            tries_left -= tries
            if not granted:
                blocked.add(account)
        self._tried |= blocked
        if self._tried >= self._queues.keys():
            self._tried.clear()

    def schedule_soon(self) -> None:
        """Start a scheduling pass soon, after a slot was released."""
        if self.waiting:
            ready_at = self._last_pass_at + MIN_SCHEDULING_INTERVAL_SECONDS
            self._schedule_in(max(0, ready_at - self._clock()))

    def _next_account(self, blocked: set[str]) -> str:
        """Return the account with the least usage that isn't blocked.

        Accounts that recent passes tried without success come last, and
        those with a retry first.
        """
        return min(
            self._queues.keys() - blocked,
            key=lambda name: (
                name in self._tried,
                not self._queues[name][0].is_retry,
                self._shares.used(name),
            ),
        )

    def _utilisation_limit(self, job: Job, *, is_retry: bool) -> float:
        limit = self._shares.utilisation_limit(job.account)
        return max(1, limit) if is_retry else limit

    def _grant_one(self, account: str, max_tries: int) -> tuple[bool, int]:
        """Grant an account's most urgent request that can be placed.

        Returns whether there was one, and how many were tried.
        """
        waiters = self._queues[account][: min(MAX_TRIES_PER_ACCOUNT, max_tries)]
        for tries, waiter in enumerate(waiters, start=1):
            job = waiter.job
            grant = waiter.reserve(
                job, self._utilisation_limit(job, is_retry=waiter.is_retry)
            )
            if grant is not None:
                self._record_grant(waiter.job)
                self._remove(waiter)
                waiter.fut.set_result(grant)
                return True, tries
        return False, len(waiters)

    def _exceeds_wait(self, job: Job, max_wait: float) -> bool:
        """Return whether a request would wait for longer than it may."""
        queue = self._queues.get(job.account, ())
        if len(queue) < MIN_QUEUE_LIMIT:
            return False
        accounts = len(self._queues) + (not queue)
        ahead = min(self.waiting, len(queue) * accounts)
        return ahead >= self._rate() * max_wait

    def _rate(self) -> float:
        """Return the recent rate of grants per second."""
        now = self._clock()
        while self._granted and self._granted[0] < now - RATE_WINDOW_SECONDS:
            self._granted.popleft()
        return max(1, len(self._granted)) / RATE_WINDOW_SECONDS

    def _record_request(self, job: Job) -> None:
        cost = cost_of(job)
        self._shares.add_demand(job.account, cost)
        self.on_request(job.account, cost)

    def _record_grant(self, job: Job) -> None:
        self._granted.append(self._clock())
        cost = cost_of(job)
        self._shares.add_usage(job.account, cost)
        self.on_grant(job.account, cost)

    def _add(self, waiter: _Waiter[GrantT]) -> None:
        queue = self._queues.setdefault(waiter.job.account, [])
        insort(queue, waiter, key=_urgency_of)
        self.waiting += 1
        if self._timer is None:
            self._schedule_in(SCHEDULING_INTERVAL_SECONDS)

    def _remove(self, waiter: _Waiter[GrantT]) -> None:
        account = waiter.job.account
        queue = self._queues.get(account)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.waiting -= 1
        if not queue:
            del self._queues[account]

    def _discard(self, waiter: _Waiter[GrantT]) -> None:
        """Drop a request whose caller disconnected, and release its grant."""
        self._remove(waiter)
        if waiter.fut.cancelled() or not waiter.fut.done():
            return
        grant = waiter.fut.result()
        if not isinstance(grant, Refusal):
            self._release(grant)
            self.take_back(waiter.job, self._clock())

    def _reject_expired(self) -> None:
        now = self._clock()
        expired = [
            waiter
            for queue in self._queues.values()
            for waiter in queue
            if now >= waiter.expires_at or waiter.fut.done()
        ]
        for waiter in expired:
            self._remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_result(self.refuse())

    def _schedule_in(self, seconds: float) -> None:
        """Start a pass after some seconds, unless one is due earlier."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + seconds:
                return
            self._timer.cancel()
        self._timer = loop.call_later(seconds, self._run_pass)

    def _run_pass(self) -> None:
        self._timer = None
        self.schedule()
        if self.waiting:
            self._schedule_in(SCHEDULING_INTERVAL_SECONDS)


def _urgency_of(waiter: _Waiter[GrantT]) -> tuple[bool, int, float]:
    """Return the sort key within an account: priority, then due time.

    Retries come first.
    """
    job = waiter.job
    due_at = job.arrived_at + job.route.objective
    return not waiter.is_retry, job.priority, due_at


def _ignore(account: str, cost: float) -> None:
    """Ignore a request or a grant."""
