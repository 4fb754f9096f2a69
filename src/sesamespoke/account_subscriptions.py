"""Accounts that somebody wants to know of."""

from collections.abc import Callable

SUBSCRIPTION_SECONDS = 10.0


class AccountSubscriptions:
    """Names with a time after which they are wanted no more."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with none; ``clock`` is the loop's."""
        self._clock = clock
        self._until: dict[str, float] = {}

    def renew(self, account: str) -> bool:
        """Want an account; return whether it was not wanted before."""
        is_new = account not in self
        self._until[account] = self._clock() + SUBSCRIPTION_SECONDS
        return is_new

    def accounts(self) -> tuple[str, ...]:
        """Return the accounts that are wanted now."""
        now = self._clock()
        lapsed = [name for name, until in self._until.items() if until <= now]
        for name in lapsed:
            del self._until[name]
        return tuple(self._until)

    def __contains__(self, account: object) -> bool:
        """Return whether an account is wanted now."""
        return self._until.get(str(account), 0) > self._clock()
