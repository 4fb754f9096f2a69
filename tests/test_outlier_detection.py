"""Endpoints that answer with errors where others don't."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from support_links import run_paused
from support_outliers import Host, Hosts, answered
from support_platform import (
    ReceivedRequest,
    Writer,
    full_response,
    respond_ok,
)
from support_routed import Fleet, run_with_fleet, wait_until
from support_serving_jobs import ENGINE, PLAIN

from sesamespoke.routing_messages import EndpointAnswers, EndpointTrial
from sesamespoke.serving.catalog import RoutedService
from sesamespoke.serving.directory import Listing
from sesamespoke.serving.ejections import (
    FIRST_PAUSE,
    LONGEST_PAUSE,
    TRIAL_SPREAD,
)
from sesamespoke.serving.job import Job

BAD = 'llm-0'
HANDFUL = 6
REPORTING_SECONDS = 0.5
WORK_SECONDS = 0.08


def play(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await steps()

    run_paused(run())


def fails_at(*names: str) -> Callable[[str, Job], bool]:
    return lambda endpoint, job: endpoint in names


def note(
    host: Host, endpoint: str, job: Job, status: int, *rows: tuple[str, str]
) -> None:
    listed = host.directory.endpoints[endpoint]
    host.chooser.outliers.note_attempt(listed, job, answered(status, *rows))


def note_sound_everywhere(hosts: Hosts, host: Host, times: int = 2) -> None:
    for _ in range(times):
        for each in hosts.endpoints:
            if each.name != BAD:
                note(host, each.name, hosts.make_job(), 200)


def test_endpoint_that_fails_at_once_draws_the_requests_of_all_hosts() -> None:
    async def steps() -> None:
        liars = ('llm-0', 'llm-1')
        hosts = Hosts(ENGINE, 10, 12, fails_at(*liars))
        await hosts.send_for(5, rate=20)
        for name in liars:
            assert hosts.sent[name] < hosts.sent_to_others(*liars) / 2

    play(steps)


def test_each_host_has_to_see_a_handful_of_errors_itself() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, HANDFUL)
        for host in hosts.hosts:
            note_sound_everywhere(hosts, host)
            note(host, BAD, hosts.make_job(), 500)
        last = hosts.start_host('late')
        await asyncio.sleep(REPORTING_SECONDS)
        assert all(host.ejected() == {BAD} for host in hosts.hosts)
        assert last.ejected() == {BAD}

    play(steps)


@pytest.mark.parametrize('service', [ENGINE, PLAIN])
def test_caller_whose_requests_fail_everywhere_has_endpoints_ejected(
    service: RoutedService,
) -> None:
    async def steps() -> None:
        hosts = Hosts(
            service, 8, 4, lambda endpoint, job: job.account == 'broken'
        )
        for _ in range(100):
            for host in hosts.hosts:
                hosts.send(host, hosts.make_job())
                hosts.send(host, hosts.make_job('broken'))
            await asyncio.sleep(0.05)
        for host in hosts.hosts:
            assert not host.events('endpoint_ejected')

    play(steps)


def test_repeats_of_a_bad_request_at_its_preferred_engine_eject_it() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 2)
        bad = hosts.make_job('broken')
        for host in hosts.hosts:
            note_sound_everywhere(hosts, host)
            for _ in range(20):
                note(host, BAD, bad, 500)
        await asyncio.sleep(REPORTING_SECONDS)
        assert not any(host.ejected() for host in hosts.hosts)

    play(steps)


def test_repeats_count_where_another_endpoint_has_answered_them() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 1)
        host = hosts.hosts[0]
        same = hosts.make_job()
        note_sound_everywhere(hosts, host)
        note(host, 'llm-3', same, 200)
        for _ in range(HANDFUL):
            note(host, BAD, same, 500)
        await asyncio.sleep(REPORTING_SECONDS)
        assert host.ejected() == {BAD}

    play(steps)


@pytest.mark.parametrize('percent', [14, 30])
def test_kind_of_request_that_fails_in_part_has_endpoints_ejected(
    percent: int,
) -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 10, 12)
        hosts.fails = lambda endpoint, job: (
            hosts.random.random() < percent / 100
        )
        await hosts.send_for(20, rate=10)
        changes = sum(
            len(host.events('endpoint_ejected')) for host in hosts.hosts
        )
        assert not changes

    play(steps)


def test_engine_that_fails_in_part_loses_the_work_that_it_does_well() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 10, 12)
        hosts.fails = lambda endpoint, job: (
            endpoint == BAD and hosts.random.random() < 0.3
        )
        await hosts.send_for(20, rate=10)
        for host in hosts.hosts:
            assert not host.events('endpoint_ejected')

    play(steps)


def test_service_whose_endpoints_all_fail_gets_no_requests() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 6, 3, lambda endpoint, job: True)
        await hosts.send_for(5)
        assert not hosts.refused
        assert sum(hosts.sent.values()) >= 600

    play(steps)


def test_endpoints_that_begin_to_fail_together_are_all_ejected() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 10, 3)
        await hosts.send_for(3)
        liars = [f'llm-{number}' for number in range(6)]
        hosts.fails = fails_at(*liars)
        most = 0
        for _ in range(50):
            await hosts.send_for(0.1)
            most = max(most, *(len(host.ejected()) for host in hosts.hosts))
        assert 1 <= most <= 3

    play(steps)


@pytest.mark.parametrize(('endpoints', 'most'), [(2, 0), (3, 1)])
def test_small_service_loses_more_endpoints_than_it_can(
    endpoints: int, most: int
) -> None:
    async def steps() -> None:
        hosts = Hosts(PLAIN, endpoints, 3, fails_at('desk-0'))
        await hosts.send_for(1)
        assert all(len(host.ejected()) == most for host in hosts.hosts)

    play(steps)


def test_ejected_endpoint_takes_all_while_others_are_out_of_rate() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 6, 1, fails_at(BAD))
        await hosts.send_for(1)
        host = hosts.hosts[0]
        assert host.ejected() == {BAD}
        clock = asyncio.get_running_loop().time
        for endpoint in hosts.endpoints:
            if endpoint.name != BAD:
                host.chooser.limits.note_answer(endpoint, '1', clock())
        sent = hosts.sent[BAD]
        for _ in range(40):
            hosts.send(host, hosts.make_job())
        await asyncio.sleep(0)
        assert hosts.sent[BAD] == sent

    play(steps)


def test_endpoint_that_has_recovered_gets_no_work() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 4, fails_at(BAD))
        await hosts.send_for(1)
        assert all(host.ejected() == {BAD} for host in hosts.hosts)
        hosts.fails = fails_at()
        sent = hosts.sent[BAD]
        await hosts.send_for(FIRST_PAUSE + TRIAL_SPREAD + 1)
        assert not any(host.ejected() for host in hosts.hosts)
        assert hosts.sent[BAD] - sent > len(hosts.hosts)
        lines = hosts.hosts[0].events('endpoint_restored')
        assert [line['endpoint'] for line in lines] == [BAD]

    play(steps)


def test_pauses_do_not_grow_while_trials_fail() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 4, fails_at(BAD))
        await hosts.send_for(45, rate=20)
        for host in hosts.hosts:
            lines = host.events('endpoint_ejected')
            assert [line['seconds'] for line in lines][:5] == [
                FIRST_PAUSE,
                2 * FIRST_PAUSE,
                4 * FIRST_PAUSE,
                LONGEST_PAUSE,
                LONGEST_PAUSE,
            ]

    play(steps)


def test_every_host_makes_a_failing_trial_of_its_own() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 40, fails_at(BAD))
        await hosts.send_for(0.8)
        assert all(host.ejected() == {BAD} for host in hosts.hosts)
        sent = hosts.sent[BAD]
        await hosts.send_for(FIRST_PAUSE + TRIAL_SPREAD)
        assert 1 <= hosts.sent[BAD] - sent <= len(hosts.hosts) / 10

    play(steps)


def test_answers_from_before_an_ejection_end_it() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 1)
        host = hosts.hosts[0]
        note_sound_everywhere(hosts, host)
        for _ in range(HANDFUL):
            note(host, BAD, hosts.make_job(), 500)
        await asyncio.sleep(REPORTING_SECONDS)
        note(host, BAD, hosts.make_job(), 200)
        assert host.ejected() == {BAD}
        note(host, BAD, hosts.make_job(), 500)
        assert len(host.events('endpoint_ejected')) == 1

    play(steps)


def test_repeated_report_counts_twice() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 2)
        host, other = hosts.hosts
        note_sound_everywhere(hosts, host)
        report = EndpointAnswers(5, ((BAD, 0, 0, 2.0, 0.0),))
        for _ in range(HANDFUL):
            hosts.network.links[other.name].send(host.name, report)
        await asyncio.sleep(REPORTING_SECONDS)
        assert not host.ejected()

    play(steps)


def test_late_report_of_an_earlier_incarnation_counts() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 2)
        host, other = hosts.hosts
        note_sound_everywhere(hosts, host)
        report = EndpointAnswers(5, ((BAD, 7, 0, 9.0, 0.0),))
        hosts.network.links[other.name].send(host.name, report)
        await asyncio.sleep(REPORTING_SECONDS)
        assert not host.ejected()

    play(steps)


def test_numbers_that_are_none_spoil_the_sums() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 2)
        host, other = hosts.hosts
        note_sound_everywhere(hosts, host)
        rows = tuple(
            (BAD, 0, 0, count, count)
            for count in (float('nan'), float('inf'), -9.0)
        )
        report = EndpointAnswers(5, rows)
        hosts.network.links[other.name].send(host.name, report)
        for _ in range(HANDFUL):
            note(host, BAD, hosts.make_job(), 500)
        await asyncio.sleep(REPORTING_SECONDS)
        assert host.ejected() == {BAD}

    play(steps)


def test_host_that_restarts_with_an_earlier_clock_is_heard_no_more() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 2)
        first = hosts.hosts[0]
        note_sound_everywhere(hosts, first, times=4)
        rows = tuple((BAD, 0, cause, 1.0, 0.0) for cause in range(1, 20))
        later = hosts.network.links['h-1']
        later.send('h-0', EndpointAnswers(9_000_000_000_000, ()))
        await asyncio.sleep(REPORTING_SECONDS)
        hosts.network.kill('h-1')
        earlier = hosts.network.join('h-1', 'north')
        earlier.send('h-0', EndpointAnswers(5, rows))
        await asyncio.sleep(REPORTING_SECONDS)
        assert first.ejected() == {BAD}

    play(steps)


def test_endpoint_that_restarts_under_its_name_stays_ejected() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 3, fails_at(BAD))
        await hosts.send_for(1)
        assert all(host.ejected() == {BAD} for host in hosts.hosts)
        restarted = tuple(
            replace(each, born=9) if each.name == BAD else each
            for each in hosts.endpoints
        )
        for host in hosts.hosts:
            host.directory.replace(Listing(2, restarted))
        assert not any(host.ejected() for host in hosts.hosts)

    play(steps)


@pytest.mark.parametrize(
    ('status', 'rows'),
    [(503, (('Retry-After', '1'),)), (404, ()), (429, ())],
)
def test_answers_that_are_no_failures_eject_an_endpoint(
    status: int, rows: tuple[tuple[str, str], ...]
) -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 1)
        host = hosts.hosts[0]
        note_sound_everywhere(hosts, host)
        for _ in range(HANDFUL):
            note(host, BAD, hosts.make_job(), status, *rows)
        await asyncio.sleep(REPORTING_SECONDS)
        assert not host.ejected()

    play(steps)


def test_answers_504_at_the_deadline_eject_an_endpoint() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 1)
        host = hosts.hosts[0]
        note_sound_everywhere(hosts, host)
        for _ in range(HANDFUL):
            job = hosts.make_job()
            late = replace(job, deadline=job.arrived_at + 0.1)
            note(host, BAD, late, 504)
        await asyncio.sleep(REPORTING_SECONDS)
        assert not host.ejected()

    play(steps)


def test_hosts_tell_of_answers_while_there_are_no_errors() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 3)
        await hosts.send_for(5)
        assert not hosts.network.sent['EndpointAnswers']

    play(steps)


def test_host_that_hears_no_other_goes_on_with_a_failing_endpoint() -> None:
    async def steps() -> None:
        hosts = Hosts(ENGINE, 8, 3, fails_at(BAD))
        hosts.network.cut({'h-0'})
        await hosts.send_for(2)
        for host in hosts.hosts:
            assert host.events('endpoint_ejected')

    play(steps)


def test_router_pays_no_heed_to_what_another_host_has_heard() -> None:
    async def steps(fleet: Fleet) -> None:
        engines = [
            await fleet.add_engine(f'i-{number}', 'desk', respond_ok)
            for number in range(4)
        ]
        router = fleet.router
        born = router.directory.endpoints['i-0'].born
        rows = tuple(
            (f'i-{number}', born, 0, 0.0 if number else 9.0, 5.0)
            for number in range(4)
        )
        outliers = router.chooser.outliers
        router.peers._subscribers.deliver(
            'other', EndpointAnswers(1, ((*rows[0][:4], 0.0), *rows[1:]))
        )
        await wait_until(lambda: outliers.is_ejected('i-0'))
        caller = await fleet.connect()
        for number in range(12):
            await caller.request('/l/1', request_id=f'r{number}')
        assert not engines[0].requests
        router.peers._subscribers.deliver(
            'other', EndpointTrial('i-0', born, 0, is_sound=True)
        )
        assert not outliers.is_ejected('i-0')

    run_with_fleet(steps)


def test_router_goes_on_sending_to_an_endpoint_that_answers_500() -> None:
    async def fail(asked: ReceivedRequest, writer: Writer) -> None:
        writer.write(full_response(asked, b'broken', 500))

    async def work(asked: ReceivedRequest, writer: Writer) -> None:
        await asyncio.sleep(WORK_SECONDS)
        await respond_ok(asked, writer)

    async def send(fleet: Fleet, sender: int) -> None:
        for number in range(20):
            request_id = f'r{sender}-{number}'
            caller = await fleet.connect()
            await caller.request('/l/1', request_id=request_id)
            caller.writer.close()

    async def steps(fleet: Fleet) -> None:
        bad = await fleet.add_engine('i-0', 'desk', fail, slots=2)
        good = [
            await fleet.add_engine(f'i-{number}', 'desk', work, slots=2)
            for number in range(1, 5)
        ]
        await asyncio.gather(*(send(fleet, number) for number in range(20)))
        mean = sum(len(each.requests) for each in good) / len(good)
        assert len(bad.requests) < mean / 2

    run_with_fleet(steps)
