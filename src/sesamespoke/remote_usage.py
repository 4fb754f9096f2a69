"""What other hosts have given one account, carried forward in time."""

RATE_GAIN = 0.5
MAX_INTERVAL_SECONDS = 10.0
EXPIRY_INTERVALS = 2


class RemoteUsage:
    """Service and outstanding cost of an account at all other hosts.

    Reports come late and in lumps. Between them the last rate is assumed
    to go on for as long as the last interval was, and the sum then to
    stand for as long again; if nothing is reported by then, the account
    is not served elsewhere any more.
    """

    def __init__(self, now: float) -> None:
        """Know nothing yet."""
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
        """Take a report; return how much was served since the last one.

        The first report of a source is a starting point.
        """
        if source != self._source:
            self._source = source
            self._served = served
        grown = max(0, served - self._served)
        self._served = max(served, self._served)
        self._learn_rate(now, grown + outstanding - self._outstanding)
        self._outstanding = outstanding
        return grown

    def projected_outstanding(self, now: float) -> float:
        """Return what is outstanding or assumed beyond the last report."""
        passed = now - self._reported_at
        if passed > EXPIRY_INTERVALS * self._interval:
            return self._outstanding
        return self._outstanding + self._rate * min(passed, self._interval)

    def _learn_rate(self, now: float, charged: float) -> None:
        interval = now - self._reported_at
        self._reported_at = now
        if not 0 < interval < MAX_INTERVAL_SECONDS:
            self._rate = 0
            return
        rate = max(0, charged) / interval
        gain = RATE_GAIN if self._interval else 1
        self._rate += gain * (rate - self._rate)
        self._interval = interval
