"""The fair-queueing order of accounts at one host."""

from sesamespoke.ledger import PoolLedger
from sesamespoke.slots import HeldSlot
from sesamespoke.world import Account

SHARES = {'one': Account(1, ()), 'two': Account(2, ())}


def make_slot(account: str, estimate: float) -> HeldSlot:
    key = ('chat/a/0', 1, 1)
    return HeldSlot(key, 'r0', account, 'e0', estimate, True, 1, 0)


def make_ledger() -> PoolLedger:
    ledger = PoolLedger(lambda: 0)
    ledger.set_accounts(SHARES)
    return ledger


def test_rounding_error_leaves_no_outstanding_cost() -> None:
    ledger = make_ledger()
    for cost in (0.1, 0.2, -0.1, -0.2):
        ledger.charge('one', cost)
    assert ledger.take_changed() == (('one', 0, 0),)


def test_account_with_least_normalised_service_is_next() -> None:
    ledger = make_ledger()
    for account, cost in (('one', 3.0), ('two', 3.0)):
        slot = make_slot(account, 1.0)
        ledger.grant(slot)
        ledger.settle(slot, cost)
    assert ledger.position('two') < ledger.position('one')


def test_idle_account_starts_at_virtual_time_without_credit() -> None:
    ledger = make_ledger()
    for _ in range(5):
        slot = make_slot('one', 2.0)
        ledger.grant(slot)
        ledger.settle(slot, 2.0)
    before = ledger.position('one')
    ledger.activate('two')
    assert 0 < ledger.position('two') <= before
