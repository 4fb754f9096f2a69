"""Addresses that are IP numbers, resolved without a thread.

Tornado hands each address to a pool of threads, since a look-up of a name
would block. The platform has no names, and a thread costs a process memory
and each connection two changes of threads.
"""

import socket
from typing import Any

from tornado.netutil import Resolver, is_valid_ip


class IpResolver(Resolver):
    """Takes IP numbers as they are; refuses names."""

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        """Return the one address; raise ``OSError`` for a name."""
        if not is_valid_ip(host):
            raise OSError(f'{host} is not an IP number')
        found = socket.AF_INET6 if ':' in host else socket.AF_INET
        return [(found, (host, port))]
