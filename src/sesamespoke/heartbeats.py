"""What hosts tell each other about themselves, and at what times."""

import asyncio
from collections.abc import Iterable
from typing import Final

from sesamespoke.codec import encode
from sesamespoke.detector import TICKS_PER_HEARTBEAT
from sesamespoke.gateways import Gateways
from sesamespoke.links import View
from sesamespoke.membership import Membership
from sesamespoke.membership_messages import MemberSilent, Probe
from sesamespoke.mesh import Mesh
from sesamespoke.messages import Heartbeat
from sesamespoke.settings import Settings
from sesamespoke.ticks import next_tick
from sesamespoke.timeline import HybridClock, Stamp

TICKS_PER_REMINDER: Final = 16


class Heartbeats:
    """Sends this host's heartbeats and takes those of its peers."""

    def __init__(
        self,
        cfg: Settings,
        membership: Membership,
        mesh: Mesh,
        gateways: Gateways,
        clock: HybridClock,
    ) -> None:
        """Create heartbeats that are not sent yet."""
        self.revision = 0
        self._heartbeat = cfg.timing.heartbeat
        self._tick_seconds = cfg.timing.heartbeat / TICKS_PER_HEARTBEAT
        self._membership = membership
        self._mesh = mesh
        self._gateways = gateways
        self._clock = clock
        self._was_stale = True
        self._told: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Send heartbeats and look for failed hosts, until cancelled."""
        loop = asyncio.get_running_loop()
        turn = 0
        due_at = loop.time()
        while True:
            if loop.time() >= due_at:
                due_at = loop.time() + self._heartbeat - self._tick_seconds / 2
                self._send(self._listeners())
            self._look(reminder=turn % TICKS_PER_REMINDER == 0)
            self._gateways.tick()
            turn += 1
            await next_tick(self._tick_seconds)

    def send_to_all(self) -> None:
        """Send a heartbeat on every stream."""
        self._send(tuple(self._mesh.connections))

    def receive(self, host: str, heartbeat: Heartbeat) -> None:
        """Take a peer's heartbeat into account."""
        self._clock.observe(Stamp(heartbeat.clock_ms, heartbeat.clock_tick))
        self._membership.set_leaving(host, leaving=heartbeat.leaving)

    def answer(self, host: str, _: Probe) -> None:
        """Answer a host that asks whether this one lives."""
        self._send((host,))

    def hear_suspicion(self, accuser: str, suspicion: MemberSilent) -> None:
        """Look after a host that one of its watchers misses."""
        host = suspicion.host
        if host == self._membership.own.host:
            self.send_to_all()
        elif host in self._membership.near:
            self._accuse(accuser, suspicion)
        elif not suspicion.gone:
            gone = MemberSilent(host, suspicion.incarnation, gone=True)
            self._mesh.write(accuser, encode(gone))

    def watch_view(self, view: View) -> None:
        """Ask all peers for a sign of life after a pause."""
        if view.stale and not self._was_stale:
            self._probe(self._membership.near)
        self._was_stale = view.stale

    def _listeners(self) -> tuple[str, ...]:
        """Return the hosts that wait for this host's heartbeats."""
        watchers = self._membership.detector.watchers
        return (*watchers, *self._gateways.far_hosts)

    def _look(self, *, reminder: bool) -> None:
        """Tell the others of silent hosts; cut off those that have gone."""
        findings = self._membership.judge()
        silent = frozenset(findings.silent)
        fresh = silent if reminder else silent - self._told
        self._told = silent
        near = self._membership.near
        for host in fresh & near.keys():
            gone = host in findings.gone
            self._tell(MemberSilent(host, near[host].incarnation, gone))
        for host in silent.union(findings.gone):
            self._mesh.drop(host)
        for host in findings.gone:
            self._membership.remove(host, 'silent')

    def _accuse(self, accuser: str, suspicion: MemberSilent) -> None:
        """Note a suspicion and probe the host."""
        host = suspicion.host
        if self._membership.accuse(host, suspicion.incarnation, accuser):
            self._probe((host,))

    def _tell(self, suspicion: MemberSilent) -> None:
        """Tell every near host of a suspicion."""
        frame = encode(suspicion)
        self._mesh.write_all(self._membership.near, frame)

    def _probe(self, hosts: Iterable[str]) -> None:
        """Ask hosts for a heartbeat."""
        frame = encode(Probe(self._membership.own.incarnation))
        self._mesh.write_all(hosts, frame)

    def _send(self, hosts: Iterable[str]) -> None:
        """Send one heartbeat to some hosts."""
        leaving = self._membership.own.leaving
        frame = encode(Heartbeat(self.revision, leaving, *self._clock.now()))
        self._mesh.write_all(hosts, frame)
