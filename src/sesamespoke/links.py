"""The interface by which roles talk to other entry hosts.

``peers.PeerStreams`` implements it over TCP; tests use a fake. Handlers
run on the event loop, in the order of arrival per sender.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from sesamespoke.messages import Message

MessageT = TypeVar('MessageT')
Handler = Callable[[str, MessageT], None]


@dataclass(frozen=True, slots=True)
class Member:
    """An entry host that is believed to live."""

    host: str
    data_centre: str
    incarnation: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """The members seen by one host; ``number`` grows with each change.

    A ``stale`` view belongs to a host that was paused for longer than its
    peers wait: it holds no role until it has heard them again. ``known``
    names the hosts that should be in this data centre, seen or not.
    """

    number: int
    members: tuple[Member, ...]
    stale: bool = False
    known: tuple[str, ...] = ()

    def hosts(self, data_centre: str | None = None) -> tuple[str, ...]:
        """Return the names of members, of one data centre if given."""
        return tuple(
            member.host
            for member in self.members
            if data_centre is None or member.data_centre == data_centre
        )


class Links(Protocol):
    """Messages to and from other hosts, and who is there."""

    host: str
    data_centre: str

    @property
    def view(self) -> View:
        """Return the members seen now, this host included."""

    def send(self, host: str, message: Message) -> bool:
        """Queue a message; return whether the host can be reached now."""

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Handler[MessageT],
    ) -> None:
        """Call ``handler(sender, message)`` for messages of one kind."""

    def on_view(self, handler: Callable[[View], None]) -> None:
        """Call ``handler`` after each change of the view."""

    def on_reconnected(self, handler: Callable[[str], None]) -> None:
        """Call ``handler(host)`` when the path to a host is new.

        Messages may have been lost since the last one that arrived, so
        soft state is sent to the host again.
        """
