"""Requests that were in flight when endpoints crashed.

A digest that was in flight at one crash is a suspect: it is tried again
alone, which means at an endpoint where no other suspect runs. After
crashes of two endpoints it is refused everywhere, but for a lone trial now
and then: copies in flight at two endpoints may have crashed beside another
request. A whole answer acquits it. Hosts share what they know; the record
expires.
"""

import asyncio

from sesamespoke.links import Links
from sesamespoke.messages import Suspect
from sesamespoke.metrics import Metrics
from sesamespoke.suspects import (
    CRASHES_TO_REFUSE,
    MILLISECONDS,
    QuarantineEntry,
    Record,
    Standing,
    Suspects,
    now,
    standing_of,
)
from sesamespoke.timeline import Timeline

EXPIRY_SECONDS = 600.0
TRIAL_SECONDS = 120.0
RETRIAL_SECONDS = 30.0
"""Wait before a refused digest is tried again; it doubles with each crash."""
SETTLE_SECONDS = 0.03


class Quarantine:
    """The record of this host, kept in step with its peers'."""

    def __init__(
        self,
        links: Links,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start empty; peers send what they know when they connect."""
        self._links = links
        self._metrics = metrics
        self._timeline = timeline
        self._suspects = Suspects()
        links.subscribe(Suspect, self._on_suspect)
        links.on_reconnected(self._send_all)

    def standing(self, digest: bytes) -> Standing:
        """Return how a request with this digest is treated now."""
        record = self._suspects.get(digest)
        standing = standing_of(record)
        if record is not None and standing is Standing.REFUSED:
            crashes = len(record.endpoints) - CRASHES_TO_REFUSE
            wait = RETRIAL_SECONDS * (1 << crashes)
            if now() >= record.expires_at - EXPIRY_SECONDS + wait:
                return Standing.SUSPECT
        return standing

    def crashed(self, digest: bytes) -> frozenset[str]:
        """Return the endpoints that crashed while they ran a request."""
        record = self._suspects.get(digest)
        return record.endpoints if record else frozenset()

    async def begin_trial(self, digest: bytes, endpoint: str) -> bool:
        """Announce a suspect's trial; return whether it runs alone.

        Two hosts that announce at once see each other's announcement
        before the settling time is over; the lesser digest goes first.
        """
        record = self._suspects.get(digest)
        if record is None:
            return True
        if self._links.host in record.trials or self._suspects.rivals(
            (digest, self._links.host), endpoint
        ):
            return False
        record.trials[self._links.host] = (endpoint, now() + TRIAL_SECONDS)
        self._broadcast(digest, record)
        await asyncio.sleep(SETTLE_SECONDS)
        rivals = self._suspects.rivals((digest, self._links.host), endpoint)
        if any(rival <= (digest, self._links.host) for rival in rivals):
            self.end_trial(digest)
            return False
        return True

    def end_trial(self, digest: bytes) -> None:
        """Announce that no trial runs here."""
        record = self._suspects.get(digest)
        if record and record.trials.pop(self._links.host, None):
            self._broadcast(digest, record)

    def note_crash(self, digest: bytes, endpoint: str) -> None:
        """Record that an endpoint crashed while it ran the request."""
        record = self._suspects.open(digest)
        record.expires_at = now() + EXPIRY_SECONDS
        tried = record.trials.pop(self._links.host, None)
        known = record.endpoints
        mark = endpoint
        if tried and endpoint in known:
            mark = f'{endpoint}, again'
        record.endpoints = known | {mark}
        self._metrics.count('suspects')
        self._tell_if_refused(digest, record, len(known))
        self._broadcast(digest, record)

    def release(self, digest: bytes) -> bool:
        """Forget a digest everywhere; return whether it was on record.

        An operator may ask for it, and a whole answer acquits.
        """
        record = self._suspects.remove(digest)
        if record is None:
            return False
        if len(record.endpoints) >= CRASHES_TO_REFUSE:
            self._timeline.record('quarantine_released', digest=digest.hex())
        self._broadcast(digest, Record(0))
        return True

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return every digest on record."""
        return self._suspects.entries()

    def _broadcast(self, digest: bytes, record: Record) -> None:
        message = self._describe(digest, record)
        for host in self._links.view.hosts():
            if host != self._links.host:
                self._links.send(host, message)

    def _describe(self, digest: bytes, record: Record) -> Suspect:
        place, _ = record.trials.get(self._links.host, ('', 0))
        remaining = max(0, record.expires_at - now())
        return Suspect(
            digest,
            tuple(sorted(record.endpoints)),
            round(remaining * MILLISECONDS),
            place,
        )

    def _send_all(self, host: str) -> None:
        for digest, record in self._suspects.items():
            self._links.send(host, self._describe(digest, record))

    def _on_suspect(self, sender: str, message: Suspect) -> None:
        self._metrics.count('suspects_heard')
        if not message.endpoints:
            self._suspects.remove(message.digest)
            return
        record = self._suspects.open(message.digest)
        known = record.endpoints
        record.endpoints = known.union(message.endpoints)
        expires_at = now() + message.remaining_ms / MILLISECONDS
        record.expires_at = max(record.expires_at, expires_at)
        if message.trying:
            until = now() + TRIAL_SECONDS
            record.trials[sender] = (message.trying, until)
        else:
            record.trials.pop(sender, None)
        self._tell_if_refused(message.digest, record, len(known))

    def _tell_if_refused(
        self,
        digest: bytes,
        record: Record,
        known: int,
    ) -> None:
        if known < CRASHES_TO_REFUSE <= len(record.endpoints):
            self._timeline.record(
                'quarantined',
                digest=digest.hex(),
                endpoints=','.join(sorted(record.endpoints)),
            )
