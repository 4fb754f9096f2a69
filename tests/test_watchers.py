"""Which hosts watch which, as hosts come and go."""

from collections.abc import Iterator
from unittest import mock

import pytest
import xxhash
from hypothesis import given
from hypothesis import strategies as st

from sesamespoke.placement import rank_hosts
from sesamespoke.watchers import WATCHERS, Watchers

HOSTS = [f'host-{number}' for number in range(9)]


def expected(host: str, hosts: frozenset[str]) -> tuple[str, ...]:
    ranked = rank_hosts(f'watch|{host}', hosts - {host})
    return tuple(ranked[:WATCHERS])


@given(st.lists(st.frozensets(st.sampled_from(HOSTS)), max_size=12))
def test_watchers_are_those_chosen_anew_for_the_hosts_that_are_there(
    changes: list[frozenset[str]],
) -> None:
    kept = Watchers()
    for hosts in changes:
        kept.set_hosts(hosts)
        for host in hosts:
            assert kept.of(host) == expected(host, hosts)
        for gone in set(HOSTS) - hosts:
            assert kept.of(gone) == ()


@pytest.fixture
def hashes() -> Iterator[mock.Mock]:
    counted = mock.Mock(wraps=xxhash.xxh3_64_intdigest)
    with mock.patch.object(xxhash, 'xxh3_64_intdigest', counted):
        yield counted


def test_hosts_that_start_one_by_one_cost_two_hashes_a_pair(
    hashes: mock.Mock,
) -> None:
    hosts = [f'host-{number}' for number in range(195)]
    kept = Watchers()
    for count in range(len(hosts)):
        kept.set_hosts(frozenset(hosts[: count + 1]))
    assert hashes.call_count <= len(hosts) * len(hosts)


def test_a_host_that_goes_costs_only_those_it_watched(
    hashes: mock.Mock,
) -> None:
    hosts = frozenset(f'host-{number}' for number in range(195))
    kept = Watchers()
    kept.set_hosts(hosts)
    hashes.reset_mock()
    gone = 'host-7'
    watched = sum(gone in kept.of(host) for host in hosts)
    kept.set_hosts(hosts - {gone})
    assert hashes.call_count <= watched * len(hosts)
