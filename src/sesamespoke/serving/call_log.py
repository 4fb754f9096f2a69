"""Log fields on what decided about a request."""

from sesamespoke.serving.chooser import Reservation
from sesamespoke.verdicts import Refusal


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


def refusal_fields(refusal: Refusal) -> dict[str, object]:
    """Return the log fields on why a request was refused."""
    fields: dict[str, object] = {'reason': refusal.reason.code}
    if refusal.retry_after is not None:
        fields['retry_after'] = round(refusal.retry_after, 2)
    return fields
