"""A caller's request, as it is routed to an endpoint."""

from dataclasses import dataclass

from sesamespoke.answers import HeaderRows
from sesamespoke.serving.catalog import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A segment of a prompt that other prompts may have in common."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a prompt and limit of its output, in tokens.

    ``parts`` are in the order of the prompt; the last one is specific to the
    request. ``expected_output`` is the caller's rough estimate.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output: int = 0
    expected_output: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may share: the prefix."""
        return self.parts[:-1]

    @property
    def prefix_id(self) -> str:
        """Return the name of the last shared part, or an empty string."""
        shared = self.shared_parts
        return shared[-1].name if shared else ''


def find_stream_id(request_id: str, last_event_id: str, resumed_id: str) -> str:
    """Return the id of the request that began the stream of a request."""
    return resumed_id if last_event_id and resumed_id else request_id


@dataclass(frozen=True, slots=True)
class Job:
    """A validated request; ``deadline`` is a time of the event loop's clock.

    ``headers`` are those that are forwarded to the endpoint. ``digest``
    identifies the path, the caller and the body. ``last_event_id`` is the
    event after which the caller resumes a stream, and ``resumed_id`` the
    request that brought its first event.
    """

    request_id: str
    account: str
    service: str
    route: Route
    method: str
    target: str
    headers: HeaderRows
    body: bytes
    arrived_at: float
    deadline: float
    digest: bytes
    priority: int = 0
    prompt: Prompt = Prompt()
    last_event_id: str = ''
    resumed_id: str = ''

    @property
    def stream_id(self) -> str:
        """Return the id of the request that began this one's stream."""
        return find_stream_id(
            self.request_id, self.last_event_id, self.resumed_id
        )
