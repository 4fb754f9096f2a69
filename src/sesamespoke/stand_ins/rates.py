"""A token bucket on the loop's clock."""

import asyncio


class TokenBucket:
    """Allows ``rate`` units a second, and ``burst`` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        """Start full."""
        self.rate = rate
        self._burst = burst
        self._level = burst
        self._updated_at = float(0)

    def take(self, amount: float = 1) -> bool:
        """Take an amount if the bucket holds it."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def reserve(self, amount: float) -> float:
        """Take an amount on credit; return the seconds to wait for it."""
        self._refill()
        self._level -= amount
        return max(0, -self._level / self.rate)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        gained = (now - self._updated_at) * self.rate
        self._level = min(self._burst, self._level + gained)
        self._updated_at = now
