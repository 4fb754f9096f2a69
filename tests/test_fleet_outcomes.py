"""What callers of a whole fleet are told, and what its engines ran."""

import asyncio
from collections.abc import Awaitable, Callable

from support_serving import (
    AVAILABILITY,
    COMPLETIONS,
    RESERVATIONS,
    WAIT_SECONDS,
    Serving,
    answered,
    completion,
    error_of,
    finish,
    serving,
    until,
)

from sesamespoke.bench.http_client import Answer
from sesamespoke.bench.load import Load
from sesamespoke.router import Router

CALL = {'desk': 4}
IN_DOUBT = {
    (409, 'idempotent_call_in_progress', 'may have run'),
    (409, 'outcome_unknown', 'may have run'),
}
UNCLAIMED = (503, 'claims_unavailable', 'not run')
REFUSED = (422, 'request_quarantined', 'not run')
OK = (200, True)


def run(steps: Callable[[Serving], Awaitable[None]]) -> None:
    async def start() -> None:
        async with serving() as fleet:
            await steps(fleet)

    asyncio.run(start())


def ends(answers: list[Answer]) -> list[tuple[int, bool]]:
    return [(answer.status, answer.whole) for answer in answers]


def served(load: Load, *besides: str) -> list[tuple[int, bool]]:
    """Return the ends of a load's answers but for some routers'."""
    return ends(
        [
            record.answer
            for record in load.records
            if record.router not in besides
        ],
    )


def test_call_at_several_data_centres_runs_once() -> None:
    async def steps(fleet: Serving) -> None:
        routers = fleet.one_per_data_centre()
        first = await fleet.ask_each(routers, RESERVATIONS, CALL, 'one')
        later = await fleet.ask_each(fleet.routers, RESERVATIONS, CALL, 'one')
        assert fleet.booking_runs() == {'one': 1}
        kept = {each.body for each in first if each.status == 200}
        refused = [error_of(each) for each in first if each.status != 200]
        assert len(kept) == 1
        assert IN_DOUBT.issuperset(refused)
        for each in later:
            assert each.body in kept or error_of(each) in IN_DOUBT
        last = await asyncio.gather(
            *[until_answered(fleet, router) for router in fleet.routers],
        )
        assert set(last) == kept
        assert fleet.booking_runs() == {'one': 1}

    run(steps)


async def until_answered(fleet: Serving, router: Router) -> bytes:
    """Ask again whenever the refusal says, until the answer comes."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            answer = await fleet.ask(router, RESERVATIONS, CALL, 'one')
            if answer.status == 200:
                return answer.body
            assert error_of(answer) in IN_DOUBT
            await asyncio.sleep(float(answer.retry_after))


def test_call_with_lost_reply_is_never_run_again() -> None:
    async def steps(fleet: Serving) -> None:
        for engine in fleet.applications():
            engine.faults.lose_replies = 1
        routers = fleet.one_per_data_centre()
        first = await fleet.ask_each(routers, RESERVATIONS, CALL, 'lost')
        later = await fleet.ask_each(fleet.routers, RESERVATIONS, CALL, 'lost')
        assert fleet.booking_runs() == {'lost': 1}
        told = [error_of(each) for each in first]
        assert (502, 'endpoint_failed', 'may have run') in told
        assert {verdict for _, _, verdict in told} == {'may have run'}
        assert IN_DOUBT.issuperset(map(error_of, later))

    run(steps)


def test_outage_of_store_stops_only_new_claims() -> None:
    async def steps(fleet: Serving) -> None:
        knowing = fleet.routers[4]
        kept = await fleet.ask(knowing, RESERVATIONS, CALL, 'known')
        fleet.fleet.site.store.order_faults({'out': True})
        refused = [
            fleet.ask(router, RESERVATIONS, CALL, f'new-{number}')
            for number, router in enumerate(fleet.routers)
        ]
        answers, reads, texts, again = await asyncio.gather(
            asyncio.gather(*refused),
            fleet.ask_each(fleet.routers, AVAILABILITY, CALL),
            fleet.complete_each('seats'),
            fleet.ask(knowing, RESERVATIONS, CALL, 'known'),
        )
        assert {error_of(each) for each in answers} == {UNCLAIMED}
        assert ends([*reads, *texts]) == [OK] * 18
        assert (again.status, again.body) == (200, kept.body)
        assert fleet.booking_runs() == {'known': 1}
        fleet.fleet.site.store.order_faults({'out': False})
        await until_claimed(fleet)
        assert set(fleet.booking_runs().values()) == {1}

    run(steps)


async def until_claimed(fleet: Serving) -> None:
    """Ask again, with the refused key, while the store comes back."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            answer = await fleet.ask(
                fleet.routers[0], RESERVATIONS, CALL, 'new-0'
            )
            if answer.status == 200:
                return
            assert error_of(answer) == UNCLAIMED


def test_request_that_crashes_engines_is_refused_everywhere() -> None:
    async def steps(fleet: Serving) -> None:
        marked = completion('CRASH-ENGINE')
        first = await fleet.ask(fleet.routers[0], COMPLETIONS, marked)
        assert error_of(first)[2] == 'may have run'
        assert fleet.crashes() == 2
        await until(lambda: len(quarantines(fleet)) == 9)
        refused = await fleet.complete_each('CRASH-ENGINE')
        assert {error_of(each) for each in refused} == {REFUSED}
        assert fleet.crashes() == 2
        assert ends(await fleet.complete_each('seats')) == [OK] * 9
        (digest,) = set(quarantines(fleet))
        path = f'/v1/quarantine/{digest}'
        await fleet.administer(fleet.routers[4], 'DELETE', path)
        await until(lambda: not quarantines(fleet))
        again = await fleet.ask(fleet.routers[8], COMPLETIONS, marked)
        assert error_of(again)[2] == 'may have run'
        assert fleet.crashes() == 4

    run(steps)


def test_shared_message_in_ever_new_requests_does_not_crash_all_engines() -> (
    None
):
    def ask_with(system: str, text: str) -> dict[str, object]:
        content = completion(text)
        asked = {'role': 'user', 'content': text}
        messages = [{'role': 'system', 'content': system}, asked]
        return {**content, 'messages': messages}

    async def steps(fleet: Serving) -> None:
        sound = ask_with('sound', 'seats')
        for number in range(12):
            router = fleet.routers[number % len(fleet.routers)]
            marked = ask_with('CRASH-ENGINE', f'question {number}')
            answers = await asyncio.gather(
                fleet.ask(router, COMPLETIONS, marked),
                fleet.ask(router, COMPLETIONS, sound),
            )
            assert answers[0].status != 200
        assert fleet.crashes() <= 5
        assert ends([answers[1]]) == [OK]
        assert error_of(answers[0]) == REFUSED

    run(steps)


def quarantines(fleet: Serving) -> list[str]:
    """Return the digests that routers refuse, one for each router."""
    return [
        entry.digest
        for router in fleet.routers
        for entry in router.quarantine.entries()
        if len(entry.endpoints) >= 2
    ]


def test_data_centre_is_taken_out_and_back_under_load() -> None:
    async def steps(fleet: Serving) -> None:
        names = fleet.languages_of('spata')
        load = fleet.load(seed=1)
        load.start()
        await until(lambda: fleet.begun_at(names) > 0)
        await fleet.set_in_service('spata', in_service=False)
        await asyncio.sleep(fleet.routers[0].cfg.timing.grant_lifetime)
        begun = fleet.begun_at(names)
        await answered(load, 40)
        assert fleet.begun_at(names) == begun
        await fleet.set_in_service('spata', in_service=True)
        await until(lambda: fleet.begun_at(names) > begun)
        assert await finish(load) == 0
        assert set(served(load)) == {OK}

    run(steps)


def test_leaving_endpoint_gets_no_new_work() -> None:
    async def steps(fleet: Serving) -> None:
        names = ['peiraias-engine-1']
        load = fleet.load(seed=2)
        load.start()
        await until(lambda: fleet.begun_at(names) > 0)
        page = fleet.plan.host_page()
        page['endpoints'][0] = {'name': names[0], 'state': 'leaving'}
        fleet.fleet.site.host_list.lag = 0.5
        fleet.fleet.site.host_list.publish(page)
        await until(
            lambda: all(
                router.peers.host_list.leaving_endpoints == set(names)
                for router in fleet.routers
            ),
        )
        await asyncio.sleep(fleet.routers[0].cfg.timing.grant_lifetime)
        begun = fleet.begun_at(names)
        await answered(load, 40)
        assert fleet.begun_at(names) == begun
        assert await finish(load) == 0
        assert set(served(load)) == {OK}

    run(steps)


def test_planned_stop_of_router_cuts_nothing() -> None:
    async def steps(fleet: Serving) -> None:
        load = fleet.load(seed=3)
        load.start()
        await answered(load, 20)
        stopped = fleet.routers[0]
        stopped.shutdown.ask()
        await stopped.shutdown.run()
        await answered(load, 20)
        assert await finish(load) == 0
        assert set(served(load)) == {OK}
        fleet.routers.remove(stopped)

    run(steps)


def test_sudden_stop_of_router_cuts_no_other_stream() -> None:
    async def steps(fleet: Serving) -> None:
        load = fleet.load(seed=4)
        load.start()
        await answered(load, 20)
        killed = fleet.routers[0]
        killed.shutdown.ask()
        await killed.stop()
        await answered(load, 40)
        assert await finish(load) == 0
        assert set(served(load, killed.cfg.host)) == {OK}
        fleet.routers.remove(killed)

    run(steps)
