"""Log fields on what decided about a request."""

import math

from sesamespoke.serving.chooser import Reservation
from sesamespoke.verdicts import Refusal

MS_PER_SECOND = 1000


def placement_fields(reservation: Reservation) -> dict[str, object]:
    """Return the log fields on why the endpoint was chosen."""
    placed = reservation.placement
    return {
        'endpoint': placed.endpoint.name,
        'software': placed.endpoint.version,
        'running': placed.load.running,
        'unread_ms': round(placed.load.prefill_ms),
        'own_unread_ms': round(placed.prefill_ms),
        'expected_ms': round(placed.expected_ms),
        'keeper': placed.prefix_holder.name if placed.prefix_holder else None,
    }


def duration_fields(sent_at: float | None, now: float) -> dict[str, object]:
    """Return the log fields on how long ago an attempt was sent, if it was."""
    if sent_at is None:
        return {}
    return {'took_ms': math.floor((now - sent_at) * MS_PER_SECOND)}


def refusal_fields(refusal: Refusal) -> dict[str, object]:
    """Return the log fields on why a request was refused."""
    fields: dict[str, object] = {'reason': refusal.reason.code}
    if refusal.retry_after is not None:
        fields['retry_after'] = round(refusal.retry_after, 2)
    return fields
