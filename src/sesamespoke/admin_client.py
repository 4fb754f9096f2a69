"""A client of the administration API that tries one router after another."""

import json
import ssl
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClient, HTTPRequest, HTTPResponse

CONNECT_SECONDS = 3.0
REQUEST_SECONDS = 20.0
REPEATS = 3
REPEAT_SECONDS = 0.5

Spread = Mapping[str, Sequence[str]]

# No answer: the connection failed or the time was over.
NO_ANSWER = 599
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Fleet:
    """The routers' administration addresses, and the team's token."""

    urls: tuple[str, ...]
    token: str
    context: ssl.SSLContext | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """What a router answered: an HTTP status and JSON."""

    status: int
    content: Any

    @property
    def is_good(self) -> bool:
        """Return whether the request was fulfilled."""
        return self.status == 200

    @property
    def error(self) -> Mapping[str, Any]:
        """Return the error object, empty if there is none."""
        if isinstance(self.content, dict):
            error = self.content.get('error')
            return error if isinstance(error, dict) else {}
        return {}


def ask(
    fleet: Fleet,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Answer:
    """Send a request to the first router that can answer it.

    It is repeated as it is, so that a change must carry its id.
    """
    answer = Answer(NO_ANSWER, {})
    for attempt in range(REPEATS):
        if attempt:
            time.sleep(REPEAT_SECONDS)
        for url in fleet.urls:
            answer = ask_one(fleet, url, method, path, body)
            if answer.status not in {NO_ANSWER, UNAVAILABLE}:
                return answer
    return answer


def ask_one(
    fleet: Fleet,
    url: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Answer:
    """Send a request to one router."""
    req = HTTPRequest(
        url.rstrip('/') + path,
        method=method,
        headers={'Authorization': f'Bearer {fleet.token}'},
        body=None if body is None else json.dumps(body),
        connect_timeout=CONNECT_SECONDS,
        request_timeout=REQUEST_SECONDS,
        ssl_options=fleet.context,
    )
    client = HTTPClient()
    try:
        return _read(client.fetch(req, raise_error=False))
    except OSError as exc:
        return Answer(NO_ANSWER, {'error': {'message': str(exc)}})
    finally:
        client.close()


def watch_spread(
    fleet: Fleet,
    revision: int,
    seconds: float,
) -> Iterator[Spread]:
    """Yield where a revision is in force until none lags or time is over."""
    deadline = time.monotonic() + seconds
    while True:
        spread = _read_spread(fleet, revision)
        yield spread
        if not spread['behind'] or time.monotonic() > deadline:
            return
        time.sleep(REPEAT_SECONDS / 5)


def _read_spread(
    fleet: Fleet,
    revision: int,
) -> Spread:
    """Merge what the routers say: what any has seen in force counts."""
    groups: dict[str, set[str]] = {
        'in_force': set(),
        'behind': set(),
        'unreachable': set(),
    }
    path = f'/v1/status?revision={revision}'
    for url in fleet.urls:
        answer = ask_one(fleet, url, 'GET', path)
        for name, hosts in groups.items():
            found = answer.content.get(name, ()) if answer.is_good else ()
            hosts.update(found)
        if not answer.is_good:
            groups['unreachable'].add(url)
    behind = groups['behind'] - groups['in_force']
    unreachable = groups['unreachable'] - groups['in_force'] - behind
    return {
        'in_force': sorted(groups['in_force']),
        'behind': sorted(behind),
        'unreachable': sorted(unreachable),
    }


def _read(response: HTTPResponse) -> Answer:
    try:
        content = json.loads(response.body or b'{}')
    except ValueError:
        content = {}
    return Answer(response.code, content)
