"""The calls of etcd's JSON gateway, applied to the stand-in's state."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

from sesamespoke.stand_ins.serving import JSONObject
from sesamespoke.stand_ins.store_codec import header_of, number_of, read_range
from sesamespoke.stand_ins.store_state import StoreState
from sesamespoke.stand_ins.store_transactions import transact


def grant_lease(state: StoreState, request: JSONObject) -> JSONObject:
    """Answer a request for a lease."""
    ttl = number_of(request, 'TTL')
    lease = state.grant(ttl, asyncio.get_running_loop().time())
    return {
        'header': header_of(state),
        'ID': str(lease.number),
        'TTL': str(ttl),
    }


def renew_lease(state: StoreState, request: JSONObject) -> JSONObject:
    """Answer a lease's renewal; a lapsed one has no TTL."""
    number = number_of(request, 'ID')
    lease = state.renew(number, asyncio.get_running_loop().time())
    answer = {'header': header_of(state), 'ID': str(number)}
    if lease:
        answer['TTL'] = str(int(lease.ttl))
    return {'result': answer}


def revoke_lease(state: StoreState, request: JSONObject) -> JSONObject:
    """Answer the end of a lease."""
    state.lapse(number_of(request, 'ID'))
    return {'header': header_of(state)}


CALLS: MappingProxyType[str, Callable[[StoreState, JSONObject], JSONObject]] = (
    MappingProxyType(
        {
            '/v3/kv/range': read_range,
            '/v3/kv/txn': transact,
            '/v3/lease/grant': grant_lease,
            '/v3/lease/keepalive': renew_lease,
            '/v3/lease/revoke': revoke_lease,
        }
    )
)


def is_write(path: str, request: JSONObject) -> bool:
    """Return whether a call counts among the writes."""
    if path == '/v3/kv/txn':
        return any(
            'request_range' not in operation and 'requestRange' not in operation
            for operation in request.get('success', [])
        )
    return path != '/v3/kv/range'
