"""Limits that hold over all routers without coordination."""

from hypothesis import given
from hypothesis import strategies as st
from support_serving_jobs import Clock

from sesamespoke.serving.retry_budget import RetryBounds, WindowedRetryBudget

BOUNDS = RetryBounds(ratio=0.2, window=10, slack=58)
ROUTERS = 9

STEPS = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.integers(0, ROUTERS - 1),
        st.integers(0, 40),
        st.integers(0, 40),
    ),
    max_size=40,
)


def count_entries(share: WindowedRetryBudget) -> int:
    """Return the number of entries that a retry share stores."""
    stored = (getattr(share, name) for name in vars(share))
    return sum(len(each) for each in stored if isinstance(each, dict))


def send_retry(share: WindowedRetryBudget) -> bool:
    """Take a retry and send it at once; return whether one was allowed."""
    if not share.reserve():
        return False
    share.record_sent()
    return True


@given(STEPS)
def test_retries_of_all_routers_stay_within_the_budget(
    steps: list[tuple[float, int, int, int]],
) -> None:
    clock = Clock()
    shares = [
        WindowedRetryBudget(BOUNDS, clock, lambda: ROUTERS)
        for _ in range(ROUTERS)
    ]
    fresh: list[float] = []
    spent: list[float] = []
    for pause, router, requests, failed in steps:
        clock.now += pause
        for _ in range(requests):
            shares[router].record_request()
            fresh.append(clock.now)
        for _ in range(failed):
            if send_retry(shares[router]):
                spent.append(clock.now)
        began = clock.now - BOUNDS.window
        lately = sum(at > began for at in spent)
        base = max(
            sum(began < at for at in fresh),
            sum(began - BOUNDS.window < at <= began for at in fresh),
            sum(abs(at - began) <= BOUNDS.window / 2 for at in fresh),
        )
        assert lately <= BOUNDS.ratio * base + BOUNDS.slack


def test_a_single_router_may_use_the_whole_slack() -> None:
    share = WindowedRetryBudget(BOUNDS, Clock(), lambda: 1)
    taken = sum(send_retry(share) for _ in range(100))
    assert 0.5 * BOUNDS.slack < taken <= BOUNDS.slack


def test_the_retry_budget_is_restored_after_its_window() -> None:
    clock = Clock()
    share = WindowedRetryBudget(BOUNDS, clock, lambda: ROUTERS)
    first = sum(send_retry(share) for _ in range(100))
    clock.now += BOUNDS.window + 1
    assert sum(send_retry(share) for _ in range(100)) == first


def test_a_retry_counts_from_when_it_is_sent_not_from_when_it_is_taken() -> (
    None
):
    """Counted when taken, retries that had waited were sent together with as
    many new ones in one window.
    """
    clock = Clock()
    share = WindowedRetryBudget(BOUNDS, clock, lambda: 1)
    waiting = sum(share.reserve() for _ in range(100))
    clock.now += 2
    for _ in range(waiting):
        share.record_sent()
    clock.now += BOUNDS.window - 1
    assert not share.reserve()
    clock.now += 2
    assert share.reserve()


def test_the_stored_entries_do_not_grow_while_no_request_fails() -> None:
    clock = Clock()
    share = WindowedRetryBudget(BOUNDS, clock, lambda: 1)
    sizes = []
    for _ in range(3):
        for _ in range(1000):
            clock.now += 0.1
            share.record_request()
        sizes.append(count_entries(share))
    assert sizes[0] == sizes[1] == sizes[2]


def test_a_retry_that_is_not_sent_returns_to_the_budget() -> None:
    share = WindowedRetryBudget(BOUNDS, Clock(), lambda: 1)
    first = sum(share.reserve() for _ in range(100))
    share.release()
    assert first and share.reserve()
    assert not share.reserve()
