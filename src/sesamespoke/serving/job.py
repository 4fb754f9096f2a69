"""One caller's request on its way to an endpoint."""

from dataclasses import dataclass

from sesamespoke.answers import HeaderRows
from sesamespoke.serving.catalog import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may begin with as well."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model engine has to read and may generate, in tokens.

    ``parts`` are in the order of the prompt; the last one belongs to the
    request alone. ``expected_output`` is the caller's rough guess.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output: int = 0
    expected_output: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have in common."""
        return self.parts[:-1]

    @property
    def prefix_id(self) -> str:
        """Return the name of the last shared part, or an empty text."""
        shared = self.shared_parts
        return shared[-1].name if shared else ''


@dataclass(frozen=True, slots=True)
class Job:
    """A checked request; ``deadline`` is on the loop's clock.

    ``headers`` are those that the endpoint is to see. ``digest`` identifies
    path, caller and body. ``last_event_id`` is where the caller resumes a
    stream.
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
