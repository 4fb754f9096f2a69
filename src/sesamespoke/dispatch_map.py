"""Which hosts dispatch which slices, derived from a document and a view."""

from collections.abc import Iterable

from sesamespoke.links import View
from sesamespoke.placement import dispatcher_host, slice_of
from sesamespoke.world import Document


def remote_dispatchers(
    service_name: str,
    data_centre: str,
    document: Document,
    view: View,
) -> dict[str, str]:
    """Return the dispatcher hosts of a service's remote slices, by slice."""
    slices = [
        slice_of(service_name, other)
        for other in document.data_centres
        if other != data_centre
    ]
    hosts = {name: dispatcher_host(name, view) for name in slices}
    return {name: host for name, host in hosts.items() if host}


def slot_holders(
    service_name: str,
    data_centre: str,
    document: Document,
    view: View,
) -> Iterable[str]:
    """Return the hosts that may hold slots of a slice.

    These are the routers of its data centre and the remote dispatchers of the
    service, which may borrow slots for their own routers.
    """
    remotes = remote_dispatchers(service_name, data_centre, document, view)
    return (*view.hosts(data_centre), *remotes.values())


def pool_dispatchers(pool: str, document: Document, view: View) -> set[str]:
    """Return the hosts that dispatch the services of a pool."""
    services = [
        name
        for name, service in document.services.items()
        if service.pool == pool
    ]
    hosts = {
        dispatcher_host(slice_of(name, data_centre), view)
        for name in services
        for data_centre in document.data_centres
    }
    return {host for host in hosts if host}
