"""Calls and streams to one of the URLs of an etcd JSON gateway."""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.simple_httpclient import HTTPTimeoutError

from sesamespoke.etcd_codec import Reply
from sesamespoke.settings import StoreSettings
from sesamespoke.store import StoreUnavailable
from sesamespoke.store_watch import IdleError, stream_lines

MAX_CALLS = 64
MAX_REPLY_BYTES = 64 * 1024 * 1024
SERVER_ERROR = 500


def may_have_applied(exc: Exception) -> bool:
    """Return whether a failed call may have reached the store.

    Only a connection that was never opened, or an answer that refuses the
    call, excludes it.
    """
    if isinstance(exc, HTTPTimeoutError):
        return 'during request' in str(exc)
    if isinstance(exc, HTTPClientError):
        return exc.code >= SERVER_ERROR
    return not isinstance(exc, ConnectionRefusedError)


class Gateway:
    """Sends each call to the URL that last answered."""

    def __init__(self, cfg: StoreSettings) -> None:
        """Create the client; no connection is opened yet."""
        self._cfg = cfg
        self._url_index = 0
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_buffer_size=MAX_REPLY_BYTES,
        )

    async def call(
        self,
        path: str,
        message: Reply,
    ) -> Reply | StoreUnavailable:
        """Post a message; return the reply's object."""
        url = self._url()
        try:
            response = await self._post(f'{url}/v3/{path}', message)
            reply: Reply = json.loads(response.body)
        except (HTTPClientError, OSError, ValueError) as exc:
            self._try_next_url(url)
            detail = f'{path} at {url}: {exc}'
            return StoreUnavailable(detail, may_have_applied(exc))
        return reply

    async def stream(
        self,
        path: str,
        message: Reply,
    ) -> AsyncGenerator[Reply | StoreUnavailable]:
        """Post a message; yield results, and at the end why it failed."""
        url = self._url()
        body = json.dumps(message).encode()
        lines = stream_lines(
            f'{url}/v3/{path}',
            body,
            self._cfg.timeout_seconds,
            self._cfg.watch_idle_seconds,
        )
        ended = 'closed'
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield json.loads(line).get('result') or {}
        except IdleError:
            return
        except (OSError, ValueError, TimeoutError) as exc:
            ended = str(exc)
        self._try_next_url(url)
        yield StoreUnavailable(f'{path} at {url}: {ended}')

    def close(self) -> None:
        """Drop the client."""
        self._client.close()

    async def _post(self, url: str, message: Reply) -> HTTPResponse:
        return await self._client.fetch(
            HTTPRequest(
                url,
                method='POST',
                body=json.dumps(message),
                headers={'Content-Type': 'application/json'},
                connect_timeout=self._cfg.timeout_seconds,
                request_timeout=self._cfg.timeout_seconds,
            ),
        )

    def _url(self) -> str:
        return self._cfg.urls[self._url_index % len(self._cfg.urls)]

    def _try_next_url(self, failed: str) -> None:
        if self._url() == failed:
            self._url_index += 1
