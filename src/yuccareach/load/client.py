"""Send one request as a caller does, and check its answer."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import msgspec

from yuccareach.standin import model

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_DATA_PREFIX = b"data: "
_DONE_MARKER = b"[DONE]"


class Verdict(StrEnum):
    """Result of the check of one request.

    An answer is RIGHT if it equals the expected one, and WRONG if a token differs. An
    incomplete answer is FAILED if it ends with an error event or the connection
    fails, else MISSING. A request is REFUSED if its status is not 200.
    """

    RIGHT = "right"
    WRONG = "wrong"
    MISSING = "missing"
    REFUSED = "refused"
    FAILED = "failed"


class Target(NamedTuple):
    """The entry, key and pipeline of requests."""

    url: str
    key: str
    pipeline: str
    layers: int


class Result(NamedTuple):
    """One finished request; times are in seconds.

    Written to the load command's output file under these field names.
    """

    verdict: Verdict
    status: int
    tokens: int
    first_token_s: float
    gaps_s: tuple[float, ...]
    total_s: float
    reason: str = ""
    request: str = ""
    started_s: float = 0.0


class StreamEnd(NamedTuple):
    """How a stream of server-sent events ended."""

    finish_reason: str
    done: bool
    error: str


async def iterate_event_data(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the data field of each server-sent event."""
    async for line in response.content:
        if line.startswith(_DATA_PREFIX):
            yield line[len(_DATA_PREFIX) :].strip()


async def request_completion(
    session: aiohttp.ClientSession,
    target: Target,
    prompt: str,
    max_tokens: int,
    started_s: float | None = None,
) -> Result:
    """Request one streamed answer and check every token of it.

    started_s is the monotonic time in seconds at which the request was due; durations
    count from it, so that they include a delay before the request was sent.
    """
    started_s = time.monotonic() if started_s is None else started_s
    try:
        async with session.post(
            f"{target.url}/v1/completions",
            headers={"Authorization": f"Bearer {target.key}"},
            json={
                "model": target.pipeline,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
            },
        ) as response:
            if response.status != 200:
                body = await response.json(content_type=None)
                reason = str(body.get("error", {}).get("code", ""))
                return _build_failed_result(
                    Verdict.REFUSED, response.status, started_s, reason
                )
            return await _read_answer(response, target, prompt, max_tokens, started_s)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return _build_failed_result(Verdict.FAILED, 0, started_s, type(error).__name__)


def _build_failed_result(
    verdict: Verdict, status: int, started_s: float, reason: str
) -> Result:
    total_s = time.monotonic() - started_s
    return Result(verdict, status, 0, 0.0, (), total_s, reason)


async def _read_answer(
    response: aiohttp.ClientResponse,
    target: Target,
    prompt: str,
    max_tokens: int,
    started_s: float,
) -> Result:
    texts: list[str] = []
    token_times: list[float] = []
    stream_end = StreamEnd("", False, "")
    async for data in iterate_event_data(response):
        if data == _DONE_MARKER:
            stream_end = stream_end._replace(done=True)
            continue
        event = msgspec.json.decode(data)
        if "error" in event:
            stream_end = stream_end._replace(error=str(event["error"].get("code")))
            continue
        choice = event["choices"][0]
        if choice["finish_reason"]:
            stream_end = stream_end._replace(finish_reason=choice["finish_reason"])
        else:
            texts.append(choice["text"])
            token_times.append(time.monotonic())
    total_s = time.monotonic() - started_s
    verdict = _compare_answer(texts, stream_end, target, prompt, max_tokens)
    first_token_s = token_times[0] - started_s if token_times else 0.0
    gaps_s = tuple(
        after - before for before, after in zip(token_times, token_times[1:])
    )
    return Result(
        verdict,
        200,
        len(texts),
        first_token_s,
        gaps_s,
        total_s,
        stream_end.error,
        response.headers.get("Yuccareach-Request", ""),
        started_s,
    )


def _compare_answer(
    texts: list[str],
    stream_end: StreamEnd,
    target: Target,
    prompt: str,
    max_tokens: int,
) -> Verdict:
    """Compare an answer with the expected one, which is computed here.

    An incomplete answer must end with an error event, or it counts as MISSING.
    """
    expected = model.compute_answer(prompt, target.layers, max_tokens)
    if texts != expected[: len(texts)]:
        return Verdict.WRONG
    if stream_end.done and stream_end.finish_reason:
        return Verdict.RIGHT if texts == expected else Verdict.WRONG
    return Verdict.FAILED if stream_end.error else Verdict.MISSING


__all__ = ["Result", "Target", "Verdict", "iterate_event_data", "request_completion"]
