"""The OpenAI-compatible shapes of requests and answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from yuccareach.entry.errors import BadRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.entry.events import FinishAnswer, Refusal

MAX_REQUESTED_TOKENS = 1_000_000

# Fields that clients send by default and that change nothing here.
_IGNORED_FIELDS = {
    "user",
    "metadata",
    "store",
    "seed",
    "temperature",
    "top_p",
    "presence_penalty",
    "frequency_penalty",
    "safety_identifier",
    "service_tier",
}
_COMMON_FIELDS = {"model", "max_tokens", "stream", "stream_options", "n"}
_CHAT_FIELDS = _COMMON_FIELDS | {"messages", "max_completion_tokens"}
_TEXT_FIELDS = _COMMON_FIELDS | {"prompt"}


class Asked(NamedTuple):
    """What a caller's body asks for."""

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool


class Answering(NamedTuple):
    """What every part of one answer repeats."""

    identifier: str
    model: str
    created_s: int
    chat: bool


def parse(body: bytes, *, chat: bool) -> Asked:
    """Read a body of either endpoint, or raise BadRequest naming the field."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"the body is not valid JSON: {error}") from error
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object")
    known = (_CHAT_FIELDS if chat else _TEXT_FIELDS) | _IGNORED_FIELDS
    unknown = sorted(set(raw) - known)
    if unknown:
        raise BadRequest(f"unknown field {unknown[0]!r}", unknown[0])
    if raw.get("n", 1) not in (1, None):
        raise BadRequest("only n=1 is supported", "n")
    options = _field(raw, "stream_options", dict, None) or {}
    prompt = _chat_prompt(raw) if chat else _text_prompt(raw)
    return Asked(
        model=_field(raw, "model", str),
        prompt=prompt,
        max_tokens=_max_tokens(raw),
        stream=bool(_field(raw, "stream", bool, False)),
        include_usage=bool(options.get("include_usage", False)),
    )


def _field(raw: dict[str, Any], name: str, kind: type, *default: Any) -> Any:
    if name not in raw and not default:
        raise BadRequest(f"field {name!r} is missing", name)
    value = raw.get(name, *default)
    if value is None and default:
        return default[0]
    if not isinstance(value, kind):
        raise BadRequest(f"field {name!r} must be {kind.__name__}", name)
    return value


def _max_tokens(raw: dict[str, Any]) -> int | None:
    name = "max_completion_tokens" if "max_completion_tokens" in raw else "max_tokens"
    value = raw.get(name)
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool):
        raise BadRequest(f"field {name!r} must be a whole number", name)
    if not 1 <= value <= MAX_REQUESTED_TOKENS:
        raise BadRequest(f"field {name!r} must be at least 1", name)
    return value


def _text_prompt(raw: dict[str, Any]) -> str:
    prompt = raw.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise BadRequest("field 'prompt' must be one string", "prompt")
    return prompt


def _chat_prompt(raw: dict[str, Any]) -> str:
    messages = _field(raw, "messages", list)
    if not messages:
        raise BadRequest("field 'messages' is empty", "messages")
    return "\n".join(map(_message_text, messages))


def _message_text(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise BadRequest("each message needs a role", "messages")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_part_text(part) for part in content)
    if not isinstance(content, str):
        raise BadRequest("each message needs text as its content", "messages")
    return f"{message['role']}: {content}"


def _part_text(part: Any) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    raise BadRequest("only text parts are supported", "messages")


def chunk(answering: Answering, text: str, index: int) -> bytes:
    """Return one part of a streamed answer."""
    if answering.chat:
        delta = {"content": text} | ({"role": "assistant"} if not index else {})
        choice: dict[str, Any] = {"index": 0, "delta": delta, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    return _encode(answering, choice, None, chunked=True)


def last_chunk(answering: Answering, finish: FinishAnswer) -> bytes:
    """Return the part that ends a streamed answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish.finish_reason}
    if answering.chat:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    return _encode(answering, choice, None, chunked=True)


def usage_chunk(answering: Answering, finish: FinishAnswer) -> bytes:
    """Return the part that tells the usage, after the last choice."""
    return _encode(answering, None, finish, chunked=True)


def whole(answering: Answering, texts: Iterable[str], finish: FinishAnswer) -> bytes:
    """Return an answer that is not streamed."""
    text = "".join(texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish.finish_reason}
    if answering.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode(answering, choice, finish, chunked=False)


def _encode(
    answering: Answering,
    choice: dict[str, Any] | None,
    finish: FinishAnswer | None,
    *,
    chunked: bool,
) -> bytes:
    kind = "text_completion"
    if answering.chat:
        kind = "chat.completion.chunk" if chunked else "chat.completion"
    body: dict[str, Any] = {
        "id": answering.identifier,
        "object": kind,
        "created": answering.created_s,
        "model": answering.model,
        "choices": [choice] if choice else [],
    }
    if finish is not None:
        body["usage"] = {
            "prompt_tokens": finish.prompt_tokens,
            "completion_tokens": finish.completion_tokens,
            "total_tokens": finish.prompt_tokens + finish.completion_tokens,
        }
    return msgspec.json.encode(body)


def error_body(refusal: Refusal, request: str, param: str | None = None) -> bytes:
    """Return an error object with the outcome of the call."""
    if refusal.status in (401, 403):
        kind = "authentication_error"
    elif refusal.status == 429:
        kind = "rate_limit_error"
    elif refusal.status < 500:
        kind = "invalid_request_error"
    else:
        kind = "server_error"
    error = {
        "message": refusal.text,
        "type": kind,
        "param": param,
        "code": refusal.reason,
        "outcome": str(refusal.outcome),
        "request": request,
    }
    return msgspec.json.encode({"error": error})


__all__ = [
    "Answering",
    "Asked",
    "chunk",
    "error_body",
    "last_chunk",
    "parse",
    "usage_chunk",
    "whole",
]
