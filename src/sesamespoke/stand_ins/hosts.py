"""A stand-in of the platform's lagging list of hosts."""

import asyncio
from collections import deque
from typing import cast

from sesamespoke.settings import Address
from sesamespoke.stand_ins.serving import (
    JSONObject,
    Listener,
    Rule,
    StandInHandler,
)


class HostListStandIn:
    """The list of entry hosts and endpoints, shown ``lag`` seconds late."""

    def __init__(self, lag: float = 0) -> None:
        """Start with an empty list."""
        self.lag = lag
        self.listener = Listener()
        self._shown: JSONObject = {'entry_hosts': [], 'endpoints': []}
        self._coming: deque[tuple[float, JSONObject]] = deque()

    @property
    def url(self) -> str:
        """Return the URL of the list."""
        base = self.listener.url
        return f'{base}/hosts'

    def start(self, address: Address) -> int:
        """Listen on an address; return the port."""
        options: dict[str, object] = {'listener': self.listener, 'hosts': self}
        rules: list[Rule] = [('/hosts', HostListHandler, options)]
        return self.listener.start(rules, address)

    def stop(self) -> None:
        """Close everything."""
        self.listener.stop()

    def publish(self, hosts: JSONObject) -> None:
        """Set the list, which is shown after the lag."""
        now = asyncio.get_running_loop().time()
        self._coming.append((now + self.lag, hosts))

    def read(self) -> JSONObject:
        """Return the list as it is shown now."""
        now = asyncio.get_running_loop().time()
        while self._coming and self._coming[0][0] <= now:
            self._shown = self._coming.popleft()[1]
        return self._shown


class HostListHandler(StandInHandler):
    """Shows and sets the list."""

    @property
    def hosts(self) -> HostListStandIn:
        """Return the list of this route."""
        return cast(HostListStandIn, self.facts['hosts'])

    def get(self) -> None:
        """Return the lagging list."""
        self.finish(self.hosts.read())

    def put(self) -> None:
        """Replace the list."""
        self.hosts.publish(self.read_json())
        self.set_status(204)
