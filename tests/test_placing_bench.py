"""The product's decisions under load, against plain baselines."""

import asyncio
from functools import lru_cache

import pytest
from support import run
from support_serving_jobs import prompt_of

from sesamespoke.bench.engine_model import EngineModel, EngineSpeed
from sesamespoke.bench.placing import play
from sesamespoke.bench.results import Fields

SECONDS = 8
SEED = 1


@lru_cache
def played(load: float, policy: str) -> Fields:
    return play(SEED, load, policy, SECONDS)


def test_under_overload_more_is_served_in_time_and_less_is_cut() -> None:
    ours = played(1.3, 'product')
    for policy in ('least_outstanding', 'round_robin'):
        baseline = played(1.3, policy)
        assert ours['in_time'] > 1.5 * baseline['in_time']
        assert ours.get('check_cut', 0) < baseline['check_cut']
        assert ours['tokens_read'] < baseline['tokens_read']


def test_at_a_moderate_load_hardly_anybody_is_refused() -> None:
    ours = played(0.6, 'product')
    assert ours['in_time'] >= 0.95


@pytest.mark.parametrize('kind', ['guide', 'answer', 'check'])
def test_no_kind_is_served_less_than_half_as_often_as_all(kind: str) -> None:
    ours = played(1.3, 'product')
    assert ours[f'{kind}_in_time'] >= ours['in_time'] / 2


def test_a_model_engine_reads_a_shared_beginning_once() -> None:
    async def steps() -> None:
        engine = EngineModel(EngineSpeed())
        loop = asyncio.get_running_loop()
        began = loop.time()
        first = engine.submit(prompt_of('b', 5000, 1000), 1)
        await first.last
        cold = loop.time() - began
        began = loop.time()
        await engine.submit(prompt_of('b', 5000, 1000), 1).last
        assert loop.time() - began < cold / 3
        assert engine.counters.kept == 5000
        assert engine.counters.again == 0

    run(steps())


def test_a_model_engine_slows_as_it_fills() -> None:
    async def steps() -> None:
        loop = asyncio.get_running_loop()
        spent = []
        for count in (1, 40):
            engine = EngineModel(EngineSpeed())
            began = loop.time()
            prompts = [prompt_of(f'{each}', 10, 10) for each in range(count)]
            asked = [engine.submit(prompt, 100) for prompt in prompts]
            await asyncio.gather(*(each.last for each in asked))
            spent.append(loop.time() - began)
        assert spent[1] > 2 * spent[0]

    run(steps())
