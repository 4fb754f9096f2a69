"""An account's usage at other hosts, extrapolated between reports."""

RATE_GAIN = 0.5
MAX_INTERVAL_SECONDS = 10.0
EXPIRY_INTERVALS = 2


class RemoteUsage:
    """Service and outstanding cost of an account at all other hosts.

    Reports arrive late and in batches. After a report, usage is assumed to
    grow at the estimated rate for the length of the last interval between
    reports, and to stay constant for another such interval. If no report
    has arrived by then, the account is taken to be no longer served at
    other hosts, and only the reported outstanding cost counts.
    """

    def __init__(self, now: float) -> None:
        """Start without usage; ``now`` is the time by the loop's clock."""
        self._source = ''
        self._served: float = 0
        self._outstanding: float = 0
        self._reported_at = now
        self._interval: float = 0
        self._rate: float = 0

    def update(
        self,
        source: str,
        now: float,
        served: float,
        outstanding: float,
    ) -> float:
        """Apply a report; return the service since the last report.

        The first report after a change of source only sets the baseline.
        """
        if source != self._source:
            self._source = source
            self._served = served
        served_since = max(0, served - self._served)
        self._served = max(served, self._served)
        self._update_rate(now, served_since + outstanding - self._outstanding)
        self._outstanding = outstanding
        return served_since

    def projected_outstanding(self, now: float) -> float:
        """Return the outstanding cost plus the growth since the last report."""
        elapsed = now - self._reported_at
        if elapsed > EXPIRY_INTERVALS * self._interval:
            return self._outstanding
        return self._outstanding + self._rate * min(elapsed, self._interval)

    def _update_rate(self, now: float, charged: float) -> None:
        interval = now - self._reported_at
        self._reported_at = now
        if not 0 < interval < MAX_INTERVAL_SECONDS:
            self._rate = 0
            return
        rate = max(0, charged) / interval
        gain = RATE_GAIN if self._interval else 1
        self._rate += gain * (rate - self._rate)
        self._interval = interval
