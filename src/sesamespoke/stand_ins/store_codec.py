"""Fields and errors of etcd's JSON gateway, on the store's side."""

import base64

from sesamespoke.stand_ins.serving import JSONObject
from sesamespoke.stand_ins.store_state import Record, StoreState

INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8


class Rejected(Exception):
    """A call that the store refuses without any effect."""

    def __init__(self, status: int, code: int, text: str) -> None:
        """Keep the HTTP status, the gRPC code and the text."""
        super().__init__(text)
        self.status = status
        self.code = code


def encode(raw: bytes) -> str:
    """Return bytes in base64, as the gateway writes them."""
    return base64.b64encode(raw).decode()


def decode(text: str) -> bytes:
    """Return the bytes of a base64 text."""
    return base64.b64decode(text)


def header_of(state: StoreState) -> JSONObject:
    """Return the header of a reply."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(state.revision),
    }


def show(record: Record) -> JSONObject:
    """Return a record in the gateway's form, without empty fields."""
    shown = {
        'key': encode(record.key),
        'value': encode(record.content),
        'create_revision': str(record.create_revision),
        'mod_revision': str(record.mod_revision),
        'version': str(record.version),
        'lease': str(record.lease),
    }
    return {name: text for name, text in shown.items() if text not in {'', '0'}}


def field_of(request: JSONObject, name: str, default: object = '') -> object:
    """Return a field by its protocol name or in camel case."""
    head, *rest = name.split('_')
    camel = head + ''.join(part.capitalize() for part in rest)
    return request.get(name, request.get(camel, default))


def bytes_of(request: JSONObject, name: str) -> bytes:
    """Return a base64 field."""
    return decode(str(field_of(request, name)))


def number_of(request: JSONObject, name: str) -> int:
    """Return an int64 field, which may be a string."""
    return int(str(field_of(request, name, 0)))


def read_range(state: StoreState, request: JSONObject) -> JSONObject:
    """Answer a range request."""
    found = state.find(bytes_of(request, 'key'), bytes_of(request, 'range_end'))
    return {
        'header': header_of(state),
        'kvs': [show(record) for record in found],
        'count': str(len(found)),
    }
