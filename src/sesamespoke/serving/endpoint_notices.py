"""Shares what endpoints say of themselves in answers among all routers."""

from collections.abc import Callable

from sesamespoke.metrics import Metrics
from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.leaving_endpoints import LeavingEndpoints
from sesamespoke.serving.limit_sharing import LimitSharing
from sesamespoke.serving.named_limits import NamedLimits
from sesamespoke.serving.peer_loads import Broadcaster
from sesamespoke.serving.serving_dependencies import Log


def share_endpoint_notices(
    links: Broadcaster,
    directory: Directory,
    limits: NamedLimits,
    metrics: Metrics,
    log: Log,
) -> Callable[[ListedEndpoint], None]:
    """Connect the notices to other routers.

    Returns the function to call when an endpoint says that it leaves.
    """
    LimitSharing(links, limits, metrics, log)
    return LeavingEndpoints(links, directory, metrics, log).note
