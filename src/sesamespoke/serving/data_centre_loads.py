"""Aggregators tell what all routers of their data centre have in flight.

The load they answer: hundreds of routers before few engines. Each would see
the others too late, or spend itself on hearing them all. A few carriers of
each data centre know all of its routers and tell their sums: to their own
hosts, where these are many, and to each other data centre in one message.
Where routers hear each other directly, that counts instead of the sums.

Reachability need not be transitive. Sums name the data centres that are
heard directly, and one that a third lacks is passed on to it with its age:
the newer sum of a data centre replaces the older one, by whichever way it
came. What is older than ``load.STALE_SECONDS`` counts no more.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from sesamespoke.links import View
from sesamespoke.routing_messages import SiteLoads
from sesamespoke.serving.fairness import FairShares
from sesamespoke.serving.load import STALE_SECONDS, LoadBook
from sesamespoke.serving.peer_loads import (
    AGGREGATORS_PER_DATA_CENTRE,
    Aggregators,
    Audience,
    Broadcaster,
)
from sesamespoke.serving.serving_call import Log
from sesamespoke.ticks import next_tick

TELL_SECONDS = 0.1
"""The interval of each carrier, that of the reports that it adds up."""
MAX_TAKEN_PER_SECOND = 25
"""Sums that reach a host from all carriers, which slow down for it."""
SPARE_TELL_SECONDS = 1.0
"""The interval where each router tells all others: sums are then for those
that some of them can't reach."""
REPEAT_SECONDS = 1.0
"""Sums that are as before are told again after so long."""
SETTLE_SECONDS = 0.5
"""A new carrier has heard each host of its data centre after so long."""
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class _Heard:
    """The newest sums of a data centre, and when they were made."""

    message: SiteLoads
    made_at: float
    direct_at: float


class SiteReports:
    """One host's part in the sums over data centres."""

    def __init__(
        self,
        links: Broadcaster,
        loads: LoadBook,
        shares: FairShares,
        aggregators: Aggregators,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        """Listen to carriers; ``run`` sends."""
        self._links = links
        self._loads = loads
        self._shares = shares
        self._aggregators = aggregators
        self._clock = clock
        self._log = log
        self._heard: dict[str, _Heard] = {}
        self._carries_since: float | None = None
        self._told: SiteLoads | None = None
        self._told_at: float = 0
        self._places: dict[str, str] = {}
        links.subscribe(SiteLoads, self._take)
        links.on_view(self._watch_view)

    async def run(self) -> None:
        """Send sums while this host is a carrier, until cancelled."""
        while True:
            await next_tick(self._interval())
            self._forget_silent()
            if self._has_settled():
                self._forget_own_sums()
                self._tell()

    def _interval(self) -> float:
        """Return the seconds until the next sums are due."""
        if self._aggregators.audience is Audience.EVERYBODY:
            return SPARE_TELL_SECONDS
        senders = AGGREGATORS_PER_DATA_CENTRE * len(set(self._places.values()))
        return max(TELL_SECONDS, senders / MAX_TAKEN_PER_SECOND)

    def _has_settled(self) -> bool:
        """Return whether this host is a carrier that has heard all."""
        if not self._aggregators.includes_this_host():
            self._carries_since = None
            return False
        now = self._clock()
        if self._carries_since is None:
            self._carries_since = now
        return now - self._carries_since >= SETTLE_SECONDS

    def _tell(self) -> None:
        own = self._links.data_centre
        message = SiteLoads(
            own,
            0,
            self._loads.sum_with(self._links.view.hosts(own)),
            self._shares.data_centre_rows(own),
            tuple(self._heard_directly()),
        )
        now = self._clock()
        if message == self._told and now < self._told_at + REPEAT_SECONDS:
            return
        self._told = message
        self._told_at = now
        if self._aggregators.audience is Audience.AGGREGATORS:
            self._links.broadcast_near(message)
        for name in self._others():
            self._links.spread(name, message)
            for lacking in self._lacking(name):
                self._links.spread(name, lacking)

    def _others(self) -> list[str]:
        """Return the data centres seen, but for the own one."""
        names = set(self._places.values())
        return sorted(names - {self._links.data_centre})

    def _lacking(self, name: str) -> Iterable[SiteLoads]:
        """Yield the sums that a data centre hears only from others."""
        told = self._heard.get(name)
        if told is None:
            return
        now = self._clock()
        for origin in self._heard_directly():
            if origin == name or origin in told.message.heard:
                continue
            heard = self._heard[origin]
            age = round((now - heard.made_at) * MS_PER_SECOND)
            yield replace(heard.message, age_ms=age)

    def _heard_directly(self) -> list[str]:
        """Return the data centres whose own carriers are heard."""
        oldest = self._clock() - STALE_SECONDS
        return [
            name
            for name, heard in self._heard.items()
            if heard.direct_at >= oldest
        ]

    def _take(self, sender: str, message: SiteLoads) -> None:
        name = message.data_centre
        is_own = name == self._links.data_centre
        if is_own and self._aggregators.includes_this_host():
            return
        age = message.age_ms / MS_PER_SECOND
        rows = message.endpoints
        if is_own:
            self._forget_near()
            rows = self._loads.subtract_own(rows)
        else:
            self._note(sender, message, age)
        if not is_own and self._hears_routers(name):
            return
        self._loads.take(_source(name), rows, age)
        self._shares.update_data_centre(
            name, message.accounts, age, is_own=is_own
        )

    def _note(self, sender: str, message: SiteLoads, age: float) -> None:
        """Remember the newest sums of another data centre."""
        now = self._clock()
        before = self._heard.get(message.data_centre)
        direct_at = before.direct_at if before else float('-inf')
        if before is None:
            self._log(
                'data_centre_heard',
                name=message.data_centre,
                by=sender,
                age_ms=message.age_ms,
            )
        if self._places.get(sender) == message.data_centre:
            direct_at = now
        if before is None or before.made_at <= now - age:
            before = _Heard(message, now - age, direct_at)
        self._heard[message.data_centre] = replace(before, direct_at=direct_at)

    def _watch_view(self, view: View) -> None:
        self._places = {
            member.host: member.data_centre for member in view.members
        }

    def _hears_routers(self, data_centre: str) -> bool:
        """Return whether routers of a data centre tell this one directly."""
        return any(
            name == data_centre and self._loads.hears(host)
            for host, name in self._places.items()
        )

    def _forget_own_sums(self) -> None:
        """Drop the sums of this data centre: each of its hosts reports."""
        self._loads.forget(_source(self._links.data_centre))

    def _forget_near(self) -> None:
        """Drop what near hosts reported: the sums hold them."""
        for host in self._links.view.hosts(self._links.data_centre):
            self._loads.forget(host)

    def _forget_silent(self) -> None:
        oldest = self._clock() - STALE_SECONDS
        for name, heard in tuple(self._heard.items()):
            if heard.made_at < oldest:
                del self._heard[name]
                self._log('data_centre_unheard', name=name)


def _source(data_centre: str) -> str:
    """Return the name under which the sums of a data centre are kept."""
    return f'data centre {data_centre}'
