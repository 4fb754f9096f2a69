"""Accounts for which a host or data centre has asked to receive updates."""

from collections.abc import Callable

SUBSCRIPTION_SECONDS = 10.0


class AccountSubscriptions:
    """Accounts with the time at which each subscription expires."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with none; ``clock`` is that of the event loop."""
        self._clock = clock
        self._expires_at: dict[str, float] = {}

    def renew(self, account: str) -> bool:
        """Add or extend a subscription; return whether it is a new one."""
        is_new = account not in self
        self._expires_at[account] = self._clock() + SUBSCRIPTION_SECONDS
        return is_new

    def accounts(self) -> tuple[str, ...]:
        """Return the subscribed accounts, dropping expired subscriptions."""
        now = self._clock()
        expired = [
            name
            for name, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        for name in expired:
            del self._expires_at[name]
        return tuple(self._expires_at)

    def __contains__(self, account: object) -> bool:
        """Return whether an account has an unexpired subscription."""
        return self._expires_at.get(str(account), 0) > self._clock()
