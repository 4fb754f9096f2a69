"""Rendezvous hashing: which host holds a role.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

from sesamespoke.links import View


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they would hold the key."""
    return sorted(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(f'{key}|{host}'.encode()),
        reverse=True,
    )


def place(key: str, hosts: Iterable[str]) -> str | None:
    """Return the host that holds the key, or None without hosts."""
    return max(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(f'{key}|{host}'.encode()),
        default=None,
    )


def slice_of(service: str, data_centre: str) -> str:
    """Return the name of a service's slice in a data centre."""
    return f'{service}/{data_centre}/0'


def dispatcher_host(slice_name: str, view: View) -> str | None:
    """Return the host that dispatches a slice, as a view shows it.

    Hosts that are leaving hold no role while another can.
    """
    data_centre = slice_name.split('/')[1]
    members = [
        member for member in view.members if member.data_centre == data_centre
    ]
    staying = [member.host for member in members if not member.leaving]
    return place(slice_name, staying or [member.host for member in members])


def cold_share(view: View, data_centre: str) -> float:
    """Return the part of cold limits that this side of a split may use.

    A majority of the known hosts uses all of it and a minority nothing, so
    that the sides never sum above a limit; an even split uses half each.
    """
    visible = len(view.hosts(data_centre))
    known = max(len(view.known), visible)
    if 2 * visible == known:
        return 1 / 2
    return float(2 * visible > known)
