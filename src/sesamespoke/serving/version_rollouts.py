"""Sends each service's requests to the versions that its rollout allows.

Every router follows the stage that the rollout's decider tells (see
``rollout_decider``), and counts the answers to its own requests. A stage
that isn't renewed falls back to less exposure: without news of the decider,
the new version gets nothing while the old one can serve.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from sesamespoke.limits import Outcome
from sesamespoke.links import Links
from sesamespoke.metrics import Metrics
from sesamespoke.placement import rank_hosts
from sesamespoke.routing_messages import RolloutAnswers, RolloutStage
from sesamespoke.serving.catalog import HASH_SPAN
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.job import Job
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.placement import Placement
from sesamespoke.serving.platform_interface import RolloutOrder, RolloutUpdate
from sesamespoke.serving.rollout_evidence import Evidence
from sesamespoke.serving.rollout_plan import Stage, route_share
from sesamespoke.serving.serving_dependencies import Log
from sesamespoke.ticks import next_tick

NEWS_SECONDS = 1.5
"""Age from which a stage no longer holds; its decider tells it several times a
second."""
NEW_VERSION_SECONDS = 3.0
"""Time for which a version that has just appeared beside others gets nothing:
the order that names it may still be on its way."""
REPORT_SECONDS = 0.25
REPORT_SECONDS_PER_HOST = 0.005
"""Interval at which answers are told to the deciders. In a large fleet it
grows, so that a decider receives at most 200 reports a second."""
DECIDERS = 2
"""Hosts that are told the answers: the decider, and the one that would follow
it at once."""
MS_PER_SECOND = 1000

_Split = tuple[frozenset[str], frozenset[str]]
BAD_OUTCOMES = frozenset((Outcome.LATE, Outcome.REFUSED, Outcome.BROKEN))


@dataclass(slots=True)
class Rollout:
    """A rollout as this router sees it; times are of the loop's clock."""

    order: RolloutOrder
    ordered_at: float
    stage: Stage = Stage.CANARY
    share: float = 0
    heard_at: float = -math.inf
    growing_since: float = math.inf
    answers: Evidence = field(default_factory=Evidence)

    def adopt(self, stage: Stage, share: float, now: float) -> bool:
        """Apply a stage; return whether it differs from the one before.

        A final stage stands, and a halted rollout doesn't go on.
        """
        before = self.stage
        is_outdated = before.is_withdrawn and not stage.is_withdrawn
        if before.is_final or (is_outdated and not stage.is_final):
            return False
        self.heard_at = now
        self.share = share
        self.stage = stage
        if stage is Stage.GROWING:
            self.growing_since = min(self.growing_since, now)
        return stage is not before


class VersionRollouts:
    """The rollouts in force, and which endpoints requests must not use."""

    def __init__(
        self,
        links: Broadcaster,
        directory: Directory,
        clock: Callable[[], float],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Subscribe to deciders; ``run`` tells them of answers."""
        self.by_service: dict[str, Rollout] = {}
        self._links: Links = links
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._first_listed: dict[tuple[str, str], float] = {}
        self._names: dict[tuple[str, str], frozenset[str]] = {}
        self._splits: dict[tuple[str, str], _Split] = {}
        self._note_versions(directory)
        directory.listeners.append(self._note_versions)
        links.subscribe(RolloutStage, self._hear_stage)
        links.on_reconnected(self._send_final_stages)

    def apply(self, update: RolloutUpdate) -> None:
        """Begin the rollout of an order, or stop one that was withdrawn."""
        known = self.by_service.get(update.service)
        if not isinstance(update, RolloutOrder):
            if known is not None and not known.stage.is_final:
                self.adopt(known, Stage.HALTED, 0)
            return
        if known is not None and known.order.is_same(update):
            known.order = update
            return
        self.by_service[update.service] = Rollout(update, self._clock())
        self._log(
            'rollout_ordered',
            service=update.service,
            version=update.version,
            seconds=update.duration,
            revision=update.revision,
        )

    def adopt(self, rollout: Rollout, stage: Stage, share: float) -> None:
        """Follow a stage, as this or another router has decided."""
        if not rollout.adopt(stage, share, self._clock()):
            return
        service = rollout.order.service
        self._metrics.count('rollout_stages', service=service, stage=stage.name)
        self._log(
            'rollout_stage',
            service=service,
            version=rollout.order.version,
            stage=stage.name.lower(),
            share=round(share, 3),
            after=round(self._clock() - rollout.ordered_at, 2),
        )

    def exclusions(
        self, job: Job, begun_at: str | None
    ) -> tuple[frozenset[str], ...]:
        """Return sets of endpoints to avoid, the best one to apply first.

        ``begun_at`` is the version that began the request's stream, if any:
        the stream can't go on elsewhere.
        """
        rollout = self.by_service.get(job.service)
        if rollout is None:
            return (self._held_back(job.service),)
        new, old = self._split(rollout)
        if rollout.stage.is_withdrawn:
            return (new,)
        if rollout.stage is Stage.COMPLETED:
            return (self._replaced(rollout),)
        if begun_at is not None or not self._directory.has_usable(
            job.service, new
        ):
            return (frozenset(),)
        share = self._share(rollout)
        rarity = rollout.answers.rarity(job.route.name)
        chosen = _is_chosen(job, route_share(rollout.stage, share, rarity))
        if not (chosen and self._directory.has_usable(job.service, old)):
            return (new,)
        return (old | self._spare(rollout, share), new)

    def note_answer(
        self, job: Job, placement: Placement, outcome: Outcome, ms: float
    ) -> None:
        """Count an answer; ``ms`` is the time to its first byte.

        Cold endpoints are slow whatever their version.
        """
        rollout = self.by_service.get(job.service)
        if rollout is None or rollout.stage.is_final:
            return
        endpoint = placement.endpoint
        is_new = endpoint.version == rollout.order.version
        route = job.route.name
        if outcome in BAD_OUTCOMES:
            rollout.answers.note_failed(route, is_new=is_new)
        elif ms >= 0 and not self._directory.is_cold(endpoint):
            ratio = ms * placement.slowdown / max(1, placement.expected_ms)
            rollout.answers.note_answered(route, ratio, is_new=is_new)

    def deciders(self, service: str) -> list[str]:
        """Return the hosts that decide on a service's rollouts, by rank."""
        hosts = self._links.view.hosts()
        return rank_hosts(f'rollout {service}', hosts)[:DECIDERS]

    def message(self, rollout: Rollout) -> RolloutStage:
        """Return a rollout's stage as it is told to other routers."""
        order = rollout.order
        age = self._clock() - rollout.ordered_at
        return RolloutStage(
            order.service,
            order.version,
            order.revision,
            rollout.stage.value,
            float(rollout.share),
            round(age * MS_PER_SECOND),
        )

    def old_endpoints(self, rollout: Rollout) -> frozenset[str]:
        """Return the endpoints of a service that run another version."""
        return self._split(rollout)[1]

    async def run(self) -> None:
        """Tell the deciders of the answers seen here, until cancelled."""
        while True:
            hosts = len(self._links.view.members)
            await next_tick(
                max(REPORT_SECONDS, hosts * REPORT_SECONDS_PER_HOST)
            )
            for service, rollout in tuple(self.by_service.items()):
                if rollout.stage.is_final:
                    continue
                message = RolloutAnswers(
                    service, rollout.order.revision, rollout.answers.rows()
                )
                for host in self.deciders(service):
                    self._links.send(host, message)

    def _replaced(self, rollout: Rollout) -> frozenset[str]:
        """Return the endpoints that a completed rollout has replaced.

        Versions that came later stand beside the new one, or replace it.
        """
        new, old = self._split(rollout)
        if not any(self._usable(rollout.order.service, new)):
            return frozenset()
        service, completed_at = rollout.order.service, rollout.heard_at
        later = (
            names
            for key, names in self._names.items()
            if key[0] == service and self._first_listed[key] > completed_at
        )
        return old.difference(*later)

    def _share(self, rollout: Rollout) -> float:
        if self._clock() - rollout.heard_at > NEWS_SECONDS:
            return 0
        return rollout.share

    def _spare(self, rollout: Rollout, share: float) -> frozenset[str]:
        """Return the endpoints of the new version that aren't needed yet.

        The others bear as much as endpoints of the old version do.
        """
        new, old = self._split(rollout)
        needed = max(1, math.ceil(share * len(old)))
        ranked = sorted(self._usable(rollout.order.service, new))
        return frozenset(ranked[needed:])

    def _split(self, rollout: Rollout) -> _Split:
        """Return the endpoints of the new version, and the others."""
        key = (rollout.order.service, rollout.order.version)
        split = self._splits.get(key)
        if split is None:
            split = self._split_names(*key)
            self._splits[key] = split
        return split

    def _split_names(self, service: str, version: str) -> _Split:
        listed = self._directory.listed(service)
        new = frozenset(each.name for each in listed if each.version == version)
        return new, frozenset(each.name for each in listed) - new

    def _held_back(self, service: str) -> frozenset[str]:
        """Return the endpoints of versions that have just appeared."""
        oldest = self._clock() - NEW_VERSION_SECONDS
        versions = [key for key in self._names if key[0] == service]
        recent = [key for key in versions if self._first_listed[key] > oldest]
        if len(recent) in {0, len(versions)}:
            return frozenset()
        held = frozenset[str]().union(*(self._names[key] for key in recent))
        return (
            held if self._directory.has_usable(service, held) else frozenset()
        )

    def _usable(self, service: str, names: frozenset[str]) -> Iterable[str]:
        usable = self._directory.usable(service)
        return (each.name for each in usable if each.name in names)

    def _note_versions(self, directory: Directory) -> None:
        names: dict[tuple[str, str], set[str]] = {}
        for endpoint in directory.endpoints.values():
            key = _version_of(endpoint)
            names.setdefault(key, set()).add(endpoint.name)
            self._first_listed.setdefault(key, self._clock())
        self._names = {key: frozenset(each) for key, each in names.items()}
        self._splits.clear()

    def _hear_stage(self, sender: str, message: RolloutStage) -> None:
        rollout = self.by_service.get(message.service)
        if rollout is None or rollout.order.revision != message.order:
            return
        age = message.age_ms / MS_PER_SECOND
        rollout.ordered_at = min(rollout.ordered_at, self._clock() - age)
        if message.stage in tuple(Stage):
            self.adopt(rollout, Stage(message.stage), message.share)

    def _send_final_stages(self, host: str) -> None:
        for rollout in self.by_service.values():
            if rollout.stage.is_final:
                self._links.send(host, self.message(rollout))


def _version_of(endpoint: ListedEndpoint) -> tuple[str, str]:
    return endpoint.service, endpoint.version


def _is_chosen(job: Job, share: float) -> bool:
    """Return whether a request is of the part that the new version gets."""
    point = xxhash.xxh3_64_intdigest(f'rollout {job.request_id}'.encode())
    return point < share * HASH_SPAN
