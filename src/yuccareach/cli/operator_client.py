"""How operator commands talk to control."""

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
HTTP_MISDIRECTED_REQUEST = 421


class OperatorError(YuccareachError):
    """Control could not be reached, or refused what was asked."""


class Reply(NamedTuple):
    """What control answered."""

    status: int
    etag: int
    body: Any


class OperatorClient(NamedTuple):
    """Where control is and with what token to reach it."""

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
        """Ask the leader, wherever it is; raises OperatorError."""
        leader, reason = "", "no answer"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number in range(MAX_TRIES):
                address = leader or self.addresses[number % len(self.addresses)]
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
                            return await _reply(response, raw=raw)
                        leader = response.headers.get("Leader", "")
                        reason = "there is no leader"
                        if leader and leader != address:
                            continue
                except (aiohttp.ClientError, TimeoutError) as error:
                    leader, reason = "", str(error) or "timeout"
                await asyncio.sleep(RETRY_DELAY_S)
        raise OperatorError(f"control cannot be reached: {reason}")


async def _reply(response: aiohttp.ClientResponse, *, raw: bool) -> Reply:
    etag = response.headers.get("ETag", "").strip('"')
    if raw and response.status == 200:
        body: Any = await response.read()
    else:
        body = await response.json(content_type=None)
    return Reply(response.status, int(etag) if etag.isdigit() else 0, body)


def require_success(reply: Reply) -> Any:
    """Return the body, or raise OperatorError with the title of a refusal."""
    if reply.status < 400:
        return reply.body
    body = reply.body if isinstance(reply.body, dict) else {}
    text = body.get("title") or body.get("error") or "refused"
    detail = body.get("description")
    raise OperatorError(f"{text} ({reply.status})" + (f"\n{detail}" if detail else ""))


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the flags that say where control is."""
    command = option(
        "--control",
        "OPERATOR",
        required=True,
        type=Addresses(),
        help="Operators' HTTP addresses of control, separated by commas.",
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
