"""HTTP client of the operator commands for control."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from yuccareach.cli.options import Addresses, option
from yuccareach.errors import YuccareachError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TRIES = 20
RETRY_DELAY_S = 0.3
REQUEST_TIMEOUT_S = 10.0
# Status of control instances that are not the leader.
HTTP_MISDIRECTED_REQUEST = 421


class OperatorError(YuccareachError):
    """Control or an entry could not be reached, or rejected the request."""


class Reply(NamedTuple):
    """A reply of control; etag is 0 if the reply has none."""

    status: int
    etag: int
    body: Any


class OperatorClient(NamedTuple):
    """Sends requests with an operator's token to any of the control instances."""

    addresses: tuple[str, ...]
    token: str

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        raw: bool = False,
    ) -> Reply:
        """Send a request to the leader and return its reply.

        Tries the control instances in turn, or the leader that one of them names.
        Raises OperatorError if no leader replies within MAX_TRIES tries.
        """
        leader, reason = "", "no reply"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for try_number in range(MAX_TRIES):
                address = leader or self.addresses[try_number % len(self.addresses)]
                try:
                    async with session.request(
                        method,
                        f"http://{address}{path}",
                        json=body,
                        headers={
                            "Authorization": f"Bearer {self.token}",
                            **(headers or {}),
                        },
                    ) as response:
                        if response.status != HTTP_MISDIRECTED_REQUEST:
                            return await _read_reply(response, raw=raw)
                        leader = response.headers.get("Leader", "")
                        reason = "there is no leader"
                        if leader and leader != address:
                            continue
                except (aiohttp.ClientError, TimeoutError) as error:
                    leader, reason = "", str(error) or "timeout"
                await asyncio.sleep(RETRY_DELAY_S)
        raise OperatorError(f"control cannot be reached: {reason}")


async def _read_reply(response: aiohttp.ClientResponse, *, raw: bool) -> Reply:
    etag = response.headers.get("ETag", "").strip('"')
    if raw and response.status == 200:
        body: Any = await response.read()
    else:
        body = await response.json(content_type=None)
    return Reply(response.status, int(etag) if etag.isdigit() else 0, body)


def require_success(reply: Reply) -> Any:
    """Return the reply's body, or raise OperatorError with its title if it failed."""
    if reply.status < 400:
        return reply.body
    body = reply.body if isinstance(reply.body, dict) else {}
    title = body.get("title") or body.get("error") or "rejected"
    description = body.get("description")
    raise OperatorError(
        f"{title} ({reply.status})" + (f"\n{description}" if description else "")
    )


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for the addresses of control and the operator's token."""
    command = option(
        "--control",
        "OPERATOR",
        required=True,
        type=Addresses(),
        help="HTTP addresses of the control instances, separated by commas.",
    )(command)
    return option("--token", "OPERATOR", required=True, help="The operator's token.")(
        command
    )


__all__ = [
    "OperatorClient",
    "OperatorError",
    "Reply",
    "operator_options",
    "require_success",
]
