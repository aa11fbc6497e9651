"""Client of the plain service that this agent serves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast
from urllib.parse import urlsplit

import aiohttp

from yuccareach.agent.events import CallService, ServiceReplied
from yuccareach.proto import data_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 2.0
MAX_REPLY_BYTES = 8 << 20
# Interim responses (1xx) before a reply.
MAX_INTERIM_RESPONSES = 16
_FORWARDED_HEADERS = (
    "content-type",
    "cache-control",
    "etag",
    "location",
    "retry-after",
)


class _LimitedProtocol:
    """aiohttp's protocol of a connection, of which few messages may be read."""

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol
        self.messages = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.protocol, name)

    async def read(self) -> Any:
        """Return the next message; raises ClientPayloadError after too many."""
        self.messages += 1
        if self.messages > MAX_INTERIM_RESPONSES + 1:
            raise aiohttp.ClientPayloadError("too many interim responses")
        return await self.protocol.read()


class _LimitedConnection:
    """A connection of aiohttp with a limited protocol."""

    def __init__(self, connection: Any) -> None:
        self.connection = connection
        self.protocol = _LimitedProtocol(connection.protocol)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.connection, name)


class _LimitedResponse(aiohttp.ClientResponse):
    """A response before which a limited number of interim ones are skipped.

    aiohttp skips them without a limit, and has no other hook.
    """

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read messages until the first that is not interim."""
        return await super().start(cast("Any", _LimitedConnection(connection)))


class ServiceClient:
    """Calls the plain service over one HTTP session."""

    def __init__(self, url: str, dispatch: Callable[[Any], None]) -> None:
        self.url = url.rstrip("/")
        self.dispatch = dispatch
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Open the session."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            response_class=_LimitedResponse,
        )

    def call(self, effect: CallService) -> None:
        """Perform a call in the background and dispatch its reply."""
        task = asyncio.create_task(self._perform(effect))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _perform(self, effect: CallService) -> None:
        reply = await self._fetch_reply(effect.message)
        self.dispatch(ServiceReplied(effect.call, reply))

    async def _fetch_reply(self, message: pb.Call) -> pb.Reply:
        """Return the service's reply.

        The outcome is NOT_RUN only if no connection was made: after that, the service
        may have run the call, even without a whole reply.
        """
        assert self.session is not None
        headers = {item.name: item.value for item in message.headers}
        if message.key:
            headers["Idempotency-Key"] = message.key
        timeout = aiohttp.ClientTimeout(
            total=message.timeout_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                message.method,
                self.url + message.path,
                data=message.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_body(response)
                if body is None:
                    return pb.Reply(outcome=pb.UNKNOWN, reason="reply_too_large")
                return pb.Reply(
                    outcome=pb.RAN,
                    status=response.status,
                    body=body,
                    headers=[
                        pb.Header(name=name, value=response.headers[name])
                        for name in _FORWARDED_HEADERS
                        if name in response.headers
                    ],
                )
        except aiohttp.ClientConnectorError:
            return pb.Reply(outcome=pb.NOT_RUN, reason="service_unreachable")
        except TimeoutError:
            return pb.Reply(outcome=pb.UNKNOWN, reason="service_timeout")
        except aiohttp.ClientError as error:
            if not await self._is_listening():
                return pb.Reply(outcome=pb.UNKNOWN, reason="service_lost")
            name = type(error).__name__
            return pb.Reply(outcome=pb.UNKNOWN, reason=f"service_failed_{name}")

    async def _is_listening(self) -> bool:
        """Return False if the service refuses connections, as after a crash."""
        url = urlsplit(self.url)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.hostname, url.port)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return True
        writer.close()
        return True

    async def close(self) -> None:
        """Cancel running calls and close the session."""
        for task in self.tasks:
            task.cancel()
        if self.session is not None:
            await self.session.close()


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the whole body, or None once it exceeds MAX_REPLY_BYTES.

    Raises aiohttp.ClientError if the body is truncated.
    """
    if (response.content_length or 0) > MAX_REPLY_BYTES:
        return None
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_REPLY_BYTES:
            return None
    return bytes(body)


__all__ = ["ServiceClient"]
