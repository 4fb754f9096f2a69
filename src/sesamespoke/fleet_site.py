"""The platform and the endpoints of a fleet plan, as stand-ins."""

import asyncio
import pickle
import signal
import sys
import uuid
from dataclasses import dataclass, field, replace
from pathlib import Path

from pydantic import ConfigDict

from sesamespoke.document_store import DocumentStore
from sesamespoke.editing import Accepted, Change, Editor
from sesamespoke.fleet_plan import EnginePlan, FleetPlan
from sesamespoke.settings import StoreSettings
from sesamespoke.stand_ins.application import (
    ApplicationEngine,
    ApplicationEngineSettings,
)
from sesamespoke.stand_ins.hosts import HostListStandIn
from sesamespoke.stand_ins.language import LanguageEngine
from sesamespoke.stand_ins.language_settings import LanguageEngineSettings
from sesamespoke.stand_ins.store import StoreStandIn
from sesamespoke.store_etcd import EtcdStore
from sesamespoke.world import ServiceKind

AUTHOR = 'fleet'


class DocumentNotAccepted(Exception):
    """The plan's document was refused; the text says why."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How the engines of a plan behave; limits come from the plan."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    language: LanguageEngineSettings = field(
        default_factory=LanguageEngineSettings,
    )
    application: ApplicationEngineSettings = field(
        default_factory=ApplicationEngineSettings,
    )


class Site:
    """Store, host list and engines in one process."""

    def __init__(self, plan: FleetPlan, pace: Pace) -> None:
        """Create the stand-ins; none listens yet."""
        self.plan = plan
        self.store = StoreStandIn()
        self.host_list = HostListStandIn()
        self.engines = {
            engine.name: _make_engine(engine, pace) for engine in plan.engines
        }

    async def start(self) -> None:
        """Listen everywhere, and put the document in force."""
        self.store.start(self.plan.store)
        self.host_list.start(self.plan.host_list)
        self.host_list.publish(self.plan.host_page())
        for engine in self.plan.engines:
            self.engines[engine.name].start(engine.address)
        await put_document(self.plan)

    def stop(self) -> None:
        """Close everything."""
        for engine in self.engines.values():
            engine.stop()
        self.host_list.stop()
        self.store.stop()


def _make_engine(
    plan: EnginePlan,
    pace: Pace,
) -> LanguageEngine | ApplicationEngine:
    if plan.kind is ServiceKind.APPLICATION:
        return ApplicationEngine(replace(pace.application))
    cfg = replace(
        pace.language,
        models=(plan.service,),
        cold_bears=plan.cold,
    )
    return LanguageEngine(cfg)


async def put_document(plan: FleetPlan) -> int:
    """Accept the plan's document as operators' changes are accepted."""
    store = EtcdStore(StoreSettings(urls=(f'http://{plan.store}',)))
    change = Change(uuid.uuid4().hex, AUTHOR, 0, plan.sections)
    accepted = await Editor(DocumentStore(store)).apply(change)
    if not isinstance(accepted, Accepted):
        raise DocumentNotAccepted(str(accepted))
    return accepted.revision


async def _serve(plan: FleetPlan, pace: Pace) -> None:
    site = Site(plan, pace)
    await site.start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    site.stop()


def main(path: str) -> None:
    """Serve the plan and pace that the bench has pickled for this process."""
    plan, pace = pickle.loads(Path(path).read_bytes())
    asyncio.run(_serve(plan, pace))


if __name__ == '__main__':
    main(sys.argv[1])
