"""Fair queueing of client accounts by the service that they have received.

Within a pool, a host orders accounts by the normalised service that the host
itself gave them: metered and outstanding cost divided by the account's share.
An account that begins to wait starts no earlier than the account served last.
The algorithm is start-time fair queueing (Goyal, Vin and Cheng, "Start-time
fair queueing", SIGCOMM 1996), with costs that are known only when a request
ends, as in Sheng et al., "Fairness in serving large language models", OSDI
2024. Service received at other hosts changes the factor by which service is
charged here (see ``ChargeFactors``).
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping

from sesamespoke.charge_factors import ChargeFactors
from sesamespoke.ledger_messages import FleetRow, HostRow
from sesamespoke.remote_usage import RemoteUsage
from sesamespoke.slots import HeldSlot
from sesamespoke.world import Account

IDLE_SECONDS = 1.0
FLEET_REPORT_TIMEOUT = 3.0
RECENT_SECONDS = 10.0
SMALLEST_COST = 1e-9


class PoolLedger:
    """The service received by the accounts of one pool, as one host sees it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start all accounts at zero; ``clock`` is the event loop's."""
        self._clock = clock
        self._accounts: Mapping[str, Account] = {}
        self._start_tags = _zero_costs()
        self._virtual_time: float = 0
        self._granted = _zero_costs()
        self._outstanding = _zero_costs()
        self._metered = _zero_costs()
        self._changed: dict[str, None] = {}
        self._fleet_service = _zero_costs()
        self._remote_usage: dict[str, RemoteUsage] = {}
        self._last_active: dict[str, float] = {}
        self._awaiting_reports: dict[str, float] = {}
        self._charge_factors = ChargeFactors(clock)

    def set_accounts(self, accounts: Mapping[str, Account]) -> None:
        """Replace the accounts by those of a new document revision."""
        self._accounts = accounts

    def position(self, account: str) -> float:
        """Return the account's virtual time; the lowest is served next."""
        granted = self._normalise(account, self._granted[account])
        return self._start_tags[account] + granted

    def charge(self, account: str, cost: float) -> None:
        """Change the outstanding cost at this data centre's routers.

        A remainder from floating-point rounding is set to zero, since an
        account counts as active while it has outstanding cost.
        """
        outstanding = self._outstanding[account] + cost
        is_remainder = abs(outstanding) < SMALLEST_COST
        self._outstanding[account] = 0 if is_remainder else outstanding
        self._changed[account] = None

    def grant(self, slot: HeldSlot) -> None:
        """Charge a grant and advance virtual time to the account served."""
        position = self.position(slot.account)
        self._virtual_time = max(self._virtual_time, position)
        self._charge_factors.record_cost(slot.estimate)
        self.hold(slot)

    def hold(self, slot: HeldSlot) -> None:
        """Charge the estimated cost of a slot that is in use."""
        self._granted[slot.account] += slot.estimate
        if slot.is_local:
            self.charge(slot.account, slot.estimate)

    def release(self, slot: HeldSlot) -> None:
        """Undo the charge of a slot."""
        self._granted[slot.account] -= slot.estimate
        if slot.is_local:
            self.charge(slot.account, -slot.estimate)

    def settle(self, slot: HeldSlot, cost: float) -> None:
        """Release a slot that this host granted and charge its actual cost.

        When several requests were granted together on too low an estimate,
        their cost moves the account ahead of virtual time by no more than
        the lead to which the charge factors respond.
        """
        self.release(slot)
        account = slot.account
        start_tag = self._start_tags[account] + self._normalise(account, cost)
        lead_scale = self._charge_factors.lead_scale(self._share(account))
        latest = self._virtual_time + lead_scale
        self._start_tags[account] = max(
            self._start_tags[account], min(start_tag, latest)
        )

    def record_usage(self, account: str, cost: float) -> None:
        """Add cost metered by this data centre's routers."""
        self._metered[account] += cost
        self._changed[account] = None
        self._fleet_service[account] += cost / self._share(account)

    def take_changed(self) -> tuple[HostRow, ...]:
        """Return this host's totals that changed since the last call."""
        rows = tuple(
            (name, self._metered[name], max(0, self._outstanding[name]))
            for name in self._changed
        )
        self._changed.clear()
        return rows

    def merge(self, source: str, rows: Iterable[FleetRow]) -> None:
        """Merge totals counted at other hosts; repeated rows have no effect."""
        now = self._clock()
        for account, served, outstanding, waits in rows:
            known = self._remote_usage.get(account)
            if known is None:
                known = RemoteUsage(now)
                self._remote_usage[account] = known
                self._fleet_service[account] = self._charge_factors.mean_service
            grown = known.update(source, now, served, outstanding)
            self._fleet_service[account] += grown / self._share(account)
            if self._awaiting_reports.pop(account, None) and not waits:
                self._raise_to_mean(account)

    def activate(self, account: str) -> None:
        """Set the virtual time of an account that begins to wait.

        It starts no earlier than the account that was served last, so that
        idle time earns no credit. An account that was idle is left out of
        the charge factors until a report of its service in the fleet
        arrives or the wait for one times out.
        """
        now = self._clock()
        lag = self._virtual_time - self.position(account)
        self._start_tags[account] += max(0, lag)
        active_at = self._last_active.get(account, now - RECENT_SECONDS)
        if now - active_at > IDLE_SECONDS:
            self._awaiting_reports[account] = now
        self._last_active[account] = now

    def update_charge_factors(self, active: Collection[str]) -> None:
        """Recompute the charge factors from the service in the fleet."""
        now = self._clock()
        self._last_active.update(dict.fromkeys(active, now))
        busy = [name for name, cost in self._outstanding.items() if cost > 0]
        self._last_active.update(dict.fromkeys(busy, now))
        for account, since in tuple(self._awaiting_reports.items()):
            if now - since > FLEET_REPORT_TIMEOUT:
                del self._awaiting_reports[account]
                self._raise_to_mean(account)
        services = {
            name: (self._fleet_service_of(name, now), self._share(name))
            for name in active
            if name not in self._awaiting_reports
        }
        for account, change in self._charge_factors.update(services).items():
            self._rescale(account, change)
            self._bound_lead(account, *services[account])

    def fleet_service(self) -> tuple[tuple[str, float], ...]:
        """Return the normalised service in the fleet of recent accounts.

        Rows are sorted by service, least first.
        """
        now = self._clock()
        rows = [
            (name, self._fleet_service_of(name, now))
            for name, active_at in self._last_active.items()
            if active_at >= now - RECENT_SECONDS
        ]
        return tuple(sorted(rows, key=lambda row: row[1]))

    def load_fleet_service(self, rows: Iterable[tuple[str, float]]) -> None:
        """Load the service in the fleet as seen by another host of the pool.

        Accounts for which this host has received reports are skipped.
        """
        for account, service in rows:
            if account not in self._remote_usage:
                self._fleet_service[account] = service

    def _rescale(self, account: str, change: float) -> None:
        """Scale an account's lead over virtual time with its charge factor.

        Source: Waldspurger and Weihl, "Stride scheduling", 1995 (dynamic
        modulation of tickets).
        """
        ahead = self._start_tags[account] - self._virtual_time
        if ahead > 0:
            self._start_tags[account] = self._virtual_time + ahead * change

    def _bound_lead(self, account: str, service: float, share: float) -> None:
        """Clamp a lead or lag to what the charge factors can respond to.

        A larger one builds up while the account, or the others, had too
        little work to use their share; compensating for it later would
        starve other accounts.
        """
        lead = service - self._charge_factors.mean_service
        bound = self._charge_factors.max_lead(share)
        self._fleet_service[account] += min(max(lead, -bound), bound) - lead

    def _raise_to_mean(self, account: str) -> None:
        mean = self._charge_factors.mean_service
        self._fleet_service[account] = max(self._fleet_service[account], mean)

    def _fleet_service_of(self, account: str, now: float) -> float:
        charged = max(0, self._outstanding[account])
        remote_usage = self._remote_usage.get(account)
        if remote_usage is not None:
            charged += remote_usage.projected_outstanding(now)
        return self._fleet_service[account] + charged / self._share(account)

    def _normalise(self, account: str, cost: float) -> float:
        return (
            cost * self._charge_factors.factor(account) / self._share(account)
        )

    def _share(self, account: str) -> float:
        cfg = self._accounts.get(account)
        return cfg.share if cfg else 1


def _zero_costs() -> defaultdict[str, float]:
    return defaultdict(float)
