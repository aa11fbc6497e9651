"""Decoding of OpenAI-compatible request bodies and encoding of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from yuccareach.entry.errors import InvalidRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.entry.events import FinishAnswer, Refusal

# Bound of max_tokens for every model; a pipeline's own maximum is checked later.
MAX_REQUESTED_TOKENS = 1_000_000

# Fields that clients send by default; they are accepted and have no effect here.
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


class CompletionBody(NamedTuple):
    """The fields of a completion request that the entry uses."""

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool


class AnswerMetadata(NamedTuple):
    """Fields that are the same in every part of one answer."""

    identifier: str
    model: str
    created_s: int
    chat: bool


def parse_body(body: bytes, *, chat: bool) -> CompletionBody:
    """Parse a body of the chat or the text completion endpoint.

    Raises InvalidRequest with the name of the first invalid field.
    """
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRequest(f"the body is not valid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidRequest("the body must be a JSON object")
    known = (_CHAT_FIELDS if chat else _TEXT_FIELDS) | _IGNORED_FIELDS
    unknown = sorted(set(fields) - known)
    if unknown:
        raise InvalidRequest(f"unknown field {unknown[0]!r}", unknown[0])
    if fields.get("n", 1) not in (1, None):
        raise InvalidRequest("only n=1 is supported", "n")
    options = _read_field(fields, "stream_options", dict, None) or {}
    prompt = _join_chat_messages(fields) if chat else _read_text_prompt(fields)
    return CompletionBody(
        model=_read_field(fields, "model", str),
        prompt=prompt,
        max_tokens=_read_max_tokens(fields),
        stream=bool(_read_field(fields, "stream", bool, False)),
        include_usage=bool(options.get("include_usage", False)),
    )


def _read_field(
    fields: dict[str, Any], name: str, expected_type: type, *default: Any
) -> Any:
    if name not in fields and not default:
        raise InvalidRequest(f"field {name!r} is missing", name)
    value = fields.get(name, *default)
    if value is None and default:
        return default[0]
    if not isinstance(value, expected_type):
        raise InvalidRequest(
            f"field {name!r} must have type {expected_type.__name__}", name
        )
    return value


def _read_max_tokens(fields: dict[str, Any]) -> int | None:
    name = (
        "max_completion_tokens" if "max_completion_tokens" in fields else "max_tokens"
    )
    value = fields.get(name)
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool):
        raise InvalidRequest(f"field {name!r} must be an integer", name)
    if not 1 <= value <= MAX_REQUESTED_TOKENS:
        raise InvalidRequest(
            f"field {name!r} must be between 1 and {MAX_REQUESTED_TOKENS}", name
        )
    return value


def _read_text_prompt(fields: dict[str, Any]) -> str:
    prompt = fields.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise InvalidRequest("field 'prompt' must be a single string", "prompt")
    return prompt


def _join_chat_messages(fields: dict[str, Any]) -> str:
    messages = _read_field(fields, "messages", list)
    if not messages:
        raise InvalidRequest("field 'messages' is empty", "messages")
    return "\n".join(map(_format_message, messages))


def _format_message(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise InvalidRequest("each message needs a role", "messages")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_read_part(part) for part in content)
    if not isinstance(content, str):
        raise InvalidRequest("each message needs text content", "messages")
    return f"{message['role']}: {content}"


def _read_part(part: Any) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return str(part["text"])
    raise InvalidRequest("only text content parts are supported", "messages")


def encode_chunk(metadata: AnswerMetadata, text: str, index: int) -> bytes:
    """Return the chunk of a streamed answer that holds one token's text."""
    if metadata.chat:
        delta = {"content": text} | ({"role": "assistant"} if not index else {})
        choice: dict[str, Any] = {"index": 0, "delta": delta, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    return _encode_response(metadata, choice, None, is_chunk=True)


def encode_finish_chunk(metadata: AnswerMetadata, finish: FinishAnswer) -> bytes:
    """Return the chunk of a streamed answer that gives the finish reason."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish.finish_reason}
    if metadata.chat:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    return _encode_response(metadata, choice, None, is_chunk=True)


def encode_usage(metadata: AnswerMetadata, finish: FinishAnswer) -> bytes:
    """Return the chunk that gives the token usage, sent after the finish reason."""
    return _encode_response(metadata, None, finish, is_chunk=True)


def encode_completion(
    metadata: AnswerMetadata, texts: Iterable[str], finish: FinishAnswer
) -> bytes:
    """Return the body of an answer that is not streamed."""
    text = "".join(texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish.finish_reason}
    if metadata.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode_response(metadata, choice, finish, is_chunk=False)


def _encode_response(
    metadata: AnswerMetadata,
    choice: dict[str, Any] | None,
    finish: FinishAnswer | None,
    *,
    is_chunk: bool,
) -> bytes:
    object_type = "text_completion"
    if metadata.chat:
        object_type = "chat.completion.chunk" if is_chunk else "chat.completion"
    body: dict[str, Any] = {
        "id": metadata.identifier,
        "object": object_type,
        "created": metadata.created_s,
        "model": metadata.model,
        "choices": [choice] if choice else [],
    }
    if finish is not None:
        body["usage"] = {
            "prompt_tokens": finish.prompt_tokens,
            "completion_tokens": finish.completion_tokens,
            "total_tokens": finish.prompt_tokens + finish.completion_tokens,
        }
    return msgspec.json.encode(body)


def encode_error(refusal: Refusal, request_id: str, param: str | None = None) -> bytes:
    """Return the body of an error, with its code and the outcome of the request."""
    if refusal.status in (401, 403):
        error_type = "authentication_error"
    elif refusal.status == 429:
        error_type = "rate_limit_error"
    elif refusal.status < 500:
        error_type = "invalid_request_error"
    else:
        error_type = "server_error"
    error = {
        "message": refusal.text,
        "type": error_type,
        "param": param,
        "code": refusal.reason,
        "outcome": str(refusal.outcome),
        "request": request_id,
    }
    return msgspec.json.encode({"error": error})


__all__ = [
    "AnswerMetadata",
    "CompletionBody",
    "encode_chunk",
    "encode_completion",
    "encode_error",
    "encode_finish_chunk",
    "encode_usage",
    "parse_body",
]
