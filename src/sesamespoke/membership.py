"""Who is there, as one host sees it.

Hosts of the own data centre are members while they are heard; those of
others as their gateways tell.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from sesamespoke.detector import Detector, Findings
from sesamespoke.freshness import Freshness
from sesamespoke.links import Member, View
from sesamespoke.messages import Hello
from sesamespoke.settings import Settings
from sesamespoke.subscribers import call_all
from sesamespoke.timeline import Timeline


class Membership:
    """The members of all data centres, and what changes in them."""

    def __init__(
        self,
        cfg: Settings,
        timeline: Timeline,
        incarnation: int,
    ) -> None:
        """Begin alone."""
        self.own = Member(cfg.host, cfg.data_centre, incarnation)
        self.detector = Detector(cfg.host, cfg.timing)
        self._view = View(1, (self.own,), stale=True, known=(cfg.host,))
        self._freshness = Freshness(cfg.timing)
        self._timeline = timeline
        self.near: dict[str, Member] = {}
        self._far: dict[str, tuple[Member, ...]] = {}
        self._known: tuple[str, ...] = (cfg.host,)
        self._handlers: list[Callable[[View], None]] = []

    @property
    def view(self) -> View:
        """Return the members seen now, after a look at the clock."""
        self._notice_pause()
        return self._view

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Call ``handler`` after each change of the view."""
        self._handlers.append(handler)

    def set_leaving(self, host: str, *, leaving: bool) -> None:
        """Note whether a near host, or this one, is leaving."""
        member = self.own if host == self.own.host else self.near.get(host)
        if member is None or member.leaving == leaving:
            return
        changed = replace(member, leaving=leaving)
        if member is self.own:
            self.own = changed
        else:
            self.near[host] = changed
        self._timeline.record('member_leaving', member=host, leaving=leaving)
        self._publish()

    def set_known(self, hosts: Iterable[str]) -> None:
        """Take the names of the hosts that should be in this data centre."""
        known = tuple(sorted({self.own.host, *hosts}))
        if known == self._known:
            return
        self._known = known
        self._publish()

    def await_known(self) -> None:
        """Regard the view as stale until the known hosts are heard."""
        self._freshness.wait_for(set(self._known) - {self.own.host}, _now())
        self._publish()

    def join(self, hello: Hello) -> None:
        """Add a near host that has said hello, or a new incarnation."""
        member = Member(hello.host, hello.data_centre, hello.incarnation)
        before = self.near.get(hello.host)
        if before is None or before.incarnation != hello.incarnation:
            self.near[hello.host] = member
            self._timeline.record('member_joined', member=hello.host)
            self._publish()
        self.hear(hello.host)

    def hear(self, host: str) -> None:
        """Note that a near host has been heard."""
        self._notice_pause()
        self.detector.hear(host, _now())
        if self._freshness.stale and self._freshness.settle((host,), _now()):
            self._publish()

    def remove(self, host: str, why: str) -> bool:
        """Take a near host out of the view; return whether it was there."""
        if self.near.pop(host, None) is None:
            return False
        self._freshness.settle((host,), _now())
        self._timeline.record('member_left', member=host, why=why)
        self._publish()
        return True

    def put_far(self, data_centre: str, members: tuple[Member, ...]) -> None:
        """Replace the members of another data centre."""
        if self._far.get(data_centre, ()) == members:
            return
        event = 'data_centre_seen' if members else 'data_centre_lost'
        if bool(members) != bool(self._far.get(data_centre)):
            self._timeline.record(event, seen=data_centre)
        self._far[data_centre] = members
        self._publish()

    def accuse(self, host: str, incarnation: int, accuser: str) -> bool:
        """Note a watcher's suspicion; return whether to probe the host."""
        member = self.near.get(host)
        if member is None or member.incarnation != incarnation:
            return False
        return self.detector.accuse(host, accuser, _now())

    def judge(self) -> Findings:
        """Return the members that are silent, and those that have gone."""
        self._notice_pause()
        findings = self.detector.judge(_now())
        if self._freshness.settle((), _now()):
            self._publish()
        return findings

    def _notice_pause(self) -> None:
        """Take into account that this host may have stood still."""
        now = _now()
        pause = self._freshness.measure_pause(now)
        if not pause:
            return
        self.detector.excuse(pause, now)
        if self._freshness.is_long(pause):
            self._freshness.wait_for(self.near, now)
            self._timeline.record('paused', seconds=round(pause, 3))
            self._publish()

    def _publish(self) -> None:
        """Build the view anew and tell the handlers."""
        self.detector.set_hosts(frozenset(self.near), _now())
        members = [self.own, *self.near.values()]
        for far in self._far.values():
            members.extend(far)
        self._view = View(
            self._view.number + 1,
            tuple(sorted(members, key=lambda member: member.host)),
            self._freshness.stale,
            self._known,
        )
        for handler in self._handlers:
            # A handler may publish again: the next one gets the latest.
            call_all((handler,), self._view)


def _now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()
