"""Transactions of the stand-in store: compare, then write or read."""

from collections.abc import Callable
from types import MappingProxyType

from sesamespoke.stand_ins.serving import JSONObject
from sesamespoke.stand_ins.store_codec import (
    INVALID_ARGUMENT,
    NOT_FOUND,
    Rejected,
    bytes_of,
    field_of,
    header_of,
    number_of,
    read_range,
)
from sesamespoke.stand_ins.store_state import Record, StoreState

MAX_OPERATIONS = 128
MAX_VALUE_BYTES = 1_048_576


def _read_target(state: StoreState, compare: JSONObject) -> int:
    found = state.find(bytes_of(compare, 'key'))
    if not found:
        return 0
    attribute = _TARGETS[str(compare.get('target', 'VERSION'))]
    return int(getattr(found[0], attribute))


_TARGETS = MappingProxyType(
    {
        'VERSION': 'version',
        'CREATE': 'create_revision',
        'MOD': 'mod_revision',
        'LEASE': 'lease',
    }
)
_COMPARISONS: MappingProxyType[str, Callable[[int, int], bool]] = (
    MappingProxyType(
        {
            'EQUAL': lambda found, wanted: found == wanted,
            'NOT_EQUAL': lambda found, wanted: found != wanted,
            'GREATER': lambda found, wanted: found > wanted,
            'LESS': lambda found, wanted: found < wanted,
        }
    )
)


def _holds(state: StoreState, compare: JSONObject) -> bool:
    target = str(compare.get('target', 'VERSION'))
    wanted = number_of(compare, _TARGETS[target])
    holds = _COMPARISONS[str(compare.get('result', 'EQUAL'))]
    return holds(_read_target(state, compare), wanted)


def _writes_of(state: StoreState, operation: JSONObject) -> list[Record]:
    put = field_of(operation, 'request_put', None)
    if isinstance(put, dict):
        lease = number_of(put, 'lease')
        if lease and lease not in state.leases:
            text = 'etcdserver: requested lease not found'
            raise Rejected(404, NOT_FOUND, text)
        value = bytes_of(put, 'value')
        if len(value) > MAX_VALUE_BYTES:
            text = 'etcdserver: request is too large'
            raise Rejected(400, INVALID_ARGUMENT, text)
        return [Record(bytes_of(put, 'key'), value, lease=lease)]
    deletion = field_of(operation, 'request_delete_range', None)
    if isinstance(deletion, dict):
        range_end = bytes_of(deletion, 'range_end')
        found = state.find(bytes_of(deletion, 'key'), range_end)
        return [Record(record.key, b'', deleted=True) for record in found]
    return []


def _respond(state: StoreState, operation: JSONObject) -> JSONObject:
    wanted = field_of(operation, 'request_range', None)
    if isinstance(wanted, dict):
        return {'response_range': read_range(state, wanted)}
    if field_of(operation, 'request_put', None):
        return {'response_put': {'header': header_of(state)}}
    return {'response_delete_range': {'header': header_of(state)}}


def transact(state: StoreState, request: JSONObject) -> JSONObject:
    """Answer a transaction: all of its branch or nothing."""
    compares = request.get('compare', [])
    holds = all(_holds(state, compare) for compare in compares)
    operations = request.get('success' if holds else 'failure', [])
    if max(len(compares), len(operations)) > MAX_OPERATIONS:
        text = 'etcdserver: too many operations in txn request'
        raise Rejected(400, INVALID_ARGUMENT, text)
    writes = [_writes_of(state, operation) for operation in operations]
    puts = [record for group in writes for record in group]
    if len({record.key for record in puts}) < len(puts):
        text = 'etcdserver: duplicate key given in txn request'
        raise Rejected(400, INVALID_ARGUMENT, text)
    if puts:
        state.write(puts)
    return {
        'header': header_of(state),
        'succeeded': holds,
        'responses': [_respond(state, operation) for operation in operations],
    }
