"""Service that client accounts have received, and who is due next.

Within a pool, a host orders accounts by the normalised service that it
gave itself: metered and outstanding cost divided by the share; an account
that begins to wait starts no earlier than the one served last. Source of
the order: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996,
with costs known at the end as in Sheng et al., "Fairness in serving large
language models", OSDI 2024. What an account got elsewhere changes how much
its service counts here (see ``steering``).
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping

from sesamespoke.elsewhere import Elsewhere
from sesamespoke.ledger_messages import FleetRow, HostRow
from sesamespoke.slots import HeldSlot
from sesamespoke.steering import Steering
from sesamespoke.world import Account

IDLE_SECONDS = 1.0
FLEET_REPORT_TIMEOUT = 3.0
RECENT_SECONDS = 10.0
SMALLEST_COST = 1e-9


class PoolLedger:
    """Where the accounts of one pool stand, as one host knows it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with every account level; ``clock`` is the loop's."""
        self._clock = clock
        self._accounts: Mapping[str, Account] = {}
        self._turns = _no_costs()
        self._virtual_time: float = 0
        self._granted = _no_costs()
        self._outstanding = _no_costs()
        self._sums = _no_costs()
        self._changed: dict[str, None] = {}
        self._fleet = _no_costs()
        self._elsewhere: dict[str, Elsewhere] = {}
        self._last_active: dict[str, float] = {}
        self._returning: dict[str, float] = {}
        self._steering = Steering(clock)

    def set_accounts(self, accounts: Mapping[str, Account]) -> None:
        """Take over the shares of a revision."""
        self._accounts = accounts

    def position(self, account: str) -> float:
        """Return the account's place in the order; the least is next."""
        granted = self._weigh(account, self._granted[account])
        return self._turns[account] + granted

    def charge(self, account: str, cost: float) -> None:
        """Change what this data centre's routers have outstanding.

        What rounding leaves of nothing is nothing: an account is active
        while it has cost outstanding.
        """
        outstanding = self._outstanding[account] + cost
        is_rest = abs(outstanding) < SMALLEST_COST
        self._outstanding[account] = 0 if is_rest else outstanding
        self._changed[account] = None

    def grant(self, slot: HeldSlot) -> None:
        """Charge a grant; virtual time follows the account served now."""
        position = self.position(slot.account)
        self._virtual_time = max(self._virtual_time, position)
        self._steering.note_cost(slot.estimate)
        self.hold(slot)

    def hold(self, slot: HeldSlot) -> None:
        """Charge a slot that is held for what it is expected to cost."""
        self._granted[slot.account] += slot.estimate
        if slot.is_local:
            self.charge(slot.account, slot.estimate)

    def release(self, slot: HeldSlot) -> None:
        """Take the charge of a slot back."""
        self._granted[slot.account] -= slot.estimate
        if slot.is_local:
            self.charge(slot.account, -slot.estimate)

    def settle(self, slot: HeldSlot, cost: float) -> None:
        """Release a slot of this host's and count what its use cost.

        Requests that were granted together on too low an estimate set an
        account back by no more than steering answers to.
        """
        self.release(slot)
        account = slot.account
        turn = self._turns[account] + self._weigh(account, cost)
        reaction = self._steering.reaction(self._share(account))
        latest = self._virtual_time + reaction
        self._turns[account] = max(self._turns[account], min(turn, latest))

    def record_usage(self, account: str, cost: float) -> None:
        """Add cost that this data centre's routers have metered."""
        self._sums[account] += cost
        self._changed[account] = None
        self._fleet[account] += cost / self._share(account)

    def take_changed(self) -> tuple[HostRow, ...]:
        """Return this host's own sums that changed since the last call."""
        rows = tuple(
            (name, self._sums[name], max(0, self._outstanding[name]))
            for name in self._changed
        )
        self._changed.clear()
        return rows

    def merge(self, source: str, rows: Iterable[FleetRow]) -> None:
        """Add what others have counted; repeats do no harm."""
        now = self._clock()
        for account, served, outstanding, waits in rows:
            known = self._elsewhere.get(account)
            if known is None:
                known = Elsewhere(now)
                self._elsewhere[account] = known
                self._fleet[account] = self._steering.middle
            grown = known.report(source, now, served, outstanding)
            self._fleet[account] += grown / self._share(account)
            if self._returning.pop(account, None) and not waits:
                self._lift(account)

    def activate(self, account: str) -> None:
        """Place an account that begins to wait.

        It starts no earlier than the account that was served last, so that
        idleness earns no credit. How it stands in the fleet is left open
        until news of it arrives.
        """
        now = self._clock()
        lack = self._virtual_time - self.position(account)
        self._turns[account] += max(0, lack)
        active_at = self._last_active.get(account, now - RECENT_SECONDS)
        if now - active_at > IDLE_SECONDS:
            self._returning[account] = now
        self._last_active[account] = now

    def update_charge_factors(self, active: Collection[str]) -> None:
        """Work out anew how service counts here, from what all have got."""
        now = self._clock()
        self._last_active.update(dict.fromkeys(active, now))
        busy = [name for name, cost in self._outstanding.items() if cost > 0]
        self._last_active.update(dict.fromkeys(busy, now))
        for account, since in tuple(self._returning.items()):
            if now - since > FLEET_REPORT_TIMEOUT:
                del self._returning[account]
                self._lift(account)
        standings = {
            name: (self._standing(name, now), self._share(name))
            for name in active
            if name not in self._returning
        }
        for account, change in self._steering.update(standings).items():
            self._rescale(account, change)
            self._bound_lead(account, *standings[account])

    def fleet_service(self) -> tuple[tuple[str, float], ...]:
        """Return the fleet's service of accounts that were active lately."""
        now = self._clock()
        rows = [
            (name, self._standing(name, now))
            for name, active_at in self._last_active.items()
            if active_at >= now - RECENT_SECONDS
        ]
        return tuple(sorted(rows, key=lambda row: row[1]))

    def load_fleet_service(self, rows: Iterable[tuple[str, float]]) -> None:
        """Take over how another host of the pool knows the fleet."""
        for account, standing in rows:
            if account not in self._elsewhere:
                self._fleet[account] = standing

    def _rescale(self, account: str, change: float) -> None:
        """Scale how far an account is ahead when its factor changes.

        Source: Waldspurger and Weihl, "Stride scheduling", 1995 (dynamic
        modulation of tickets).
        """
        ahead = self._turns[account] - self._virtual_time
        if ahead > 0:
            self._turns[account] = self._virtual_time + ahead * change

    def _bound_lead(self, account: str, got: float, share: float) -> None:
        """Forget a lead or lag beyond what steering can answer to.

        It comes from times when the account, or the others, had too little
        work to use a share; made up for later it would starve others.
        """
        lead = got - self._steering.middle
        bound = self._steering.bound(share)
        self._fleet[account] += min(max(lead, -bound), bound) - lead

    def _lift(self, account: str) -> None:
        middle = self._steering.middle
        self._fleet[account] = max(self._fleet[account], middle)

    def _standing(self, account: str, now: float) -> float:
        charged = max(0, self._outstanding[account])
        elsewhere = self._elsewhere.get(account)
        if elsewhere is not None:
            charged += elsewhere.ahead(now)
        return self._fleet[account] + charged / self._share(account)

    def _weigh(self, account: str, cost: float) -> float:
        return cost * self._steering.factor(account) / self._share(account)

    def _share(self, account: str) -> float:
        cfg = self._accounts.get(account)
        return cfg.share if cfg else 1


def _no_costs() -> defaultdict[str, float]:
    return defaultdict(float)
