"""HTTP towards callers and the platform."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi

from yuccareach.entry import openai
from yuccareach.entry.disconnects import DisconnectWatch, on_disconnect
from yuccareach.entry.errors import BadRequest
from yuccareach.entry.events import (
    CallAsked,
    CallerLeft,
    CompletionAsked,
    Deliver,
    Finish,
    Refusal,
    Refuse,
    ReturnReply,
)
from yuccareach.outcome import Outcome
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.health import Readiness, add_health_routes
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import wall_clock_ms
from yuccareach.settings.store import hash_key, match_route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccareach.entry.run import EntryProcess
    from yuccareach.settings.store import Workspace

MAX_BODY_BYTES = 4 << 20
OUTCOME_HEADER = "Yuccareach-Outcome"
REQUEST_HEADER = "Yuccareach-Request"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language")
_DONE = b"data: [DONE]\n\n"


class _Refused(Exception):
    """Carries a refusal to the one place that renders it."""

    def __init__(self, refusal: Refusal, param: str | None = None) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal
        self.param = param


def _render(
    response: Any, refusal: Refusal, request: str, param: str | None = None
) -> None:
    """Write a refusal as an error object, with its outcome in a header."""
    response.status = falcon.code_to_http_status(refusal.status)
    response.set_header(OUTCOME_HEADER, str(refusal.outcome))
    if refusal.retry_after_s is not None:
        response.set_header("Retry-After", str(refusal.retry_after_s))
    response.content_type = "application/json"
    response.data = openai.error_body(refusal, request, param)


def _authenticate(process: EntryProcess, request: Any) -> Workspace:
    """Return the workspace whose key the caller sent."""
    header = request.get_header("Authorization") or ""
    scheme, _, key = header.partition(" ")
    if scheme.lower() == "bearer" and key:
        workspace = process.state.settings.workspace_by_key_hash.get(
            hash_key(key.strip())
        )
        if workspace is not None:
            return workspace
    raise _Refused(Refusal(401, "invalid_api_key", "the API key is not known"))


async def _read_body(request: Any) -> bytes:
    """Read a body up to the limit."""
    refusal = Refusal(
        413, "body_too_large", f"the body is longer than {MAX_BODY_BYTES} bytes"
    )
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise _Refused(refusal)
    body = bytearray()
    async for part in request.stream:
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise _Refused(refusal)
    return bytes(body)


class Completions:
    """One of the two model endpoints."""

    def __init__(self, process: EntryProcess, *, chat: bool) -> None:
        self.process = process
        self.chat = chat

    async def on_post(self, request: Any, response: Any) -> None:
        """Answer a prompt, streamed or whole."""
        identifier = self.process.new_request_id()
        response.set_header(REQUEST_HEADER, identifier)
        try:
            workspace = _authenticate(self.process, request)
            asked = _parse(await _read_body(request), chat=self.chat)
        except _Refused as error:
            _render(response, error.refusal, identifier, error.param)
            return
        queue = self.process.waiters.open(identifier)
        on_disconnect(request, lambda: self._caller_left(identifier))
        self.process.dispatch(
            CompletionAsked(
                identifier, workspace, asked.model, asked.prompt, asked.max_tokens
            )
        )
        first = await queue.get()
        if isinstance(first, Refuse):
            self.process.waiters.close(identifier)
            _render(response, first.refusal, identifier)
            return
        answering = openai.Answering(
            identifier, asked.model, wall_clock_ms() // 1000, self.chat
        )
        if asked.stream:
            response.content_type = "text/event-stream"
            response.set_header("Cache-Control", "no-store")
            response.stream = self._stream(
                answering, queue, first, include_usage=asked.include_usage
            )
        else:
            await self._whole(response, answering, queue, first)

    def _caller_left(self, identifier: str) -> None:
        waiting = self.process.waiters.queue_by_request.get(identifier)
        if waiting is not None:
            text = "the caller closed the connection"
            waiting.put_nowait(Refuse(identifier, Refusal(499, "caller_left", text)))
        self.process.dispatch(CallerLeft(identifier))

    async def _stream(
        self,
        answering: openai.Answering,
        queue: asyncio.Queue[Any],
        effect: Any,
        *,
        include_usage: bool,
    ) -> AsyncIterator[bytes]:
        """Yield server-sent events until the answer or a failure ends them."""
        try:
            while isinstance(effect, Deliver):
                data = openai.chunk(answering, effect.text, effect.token_index)
                yield b"data: " + data + b"\n\n"
                effect = await queue.get()
            if isinstance(effect, Finish):
                yield b"data: " + openai.last_chunk(answering, effect) + b"\n\n"
                if include_usage:
                    yield b"data: " + openai.usage_chunk(answering, effect) + b"\n\n"
                yield _DONE
            else:
                error = openai.error_body(effect.refusal, answering.identifier)
                yield b"data: " + error + b"\n\n"
        finally:
            self.process.waiters.close(answering.identifier)
            self.process.dispatch(CallerLeft(answering.identifier))

    async def _whole(
        self,
        response: Any,
        answering: openai.Answering,
        queue: asyncio.Queue[Any],
        effect: Any,
    ) -> None:
        """Gather the tokens and answer once."""
        texts: list[str] = []
        while isinstance(effect, Deliver):
            texts.append(effect.text)
            effect = await queue.get()
        self.process.waiters.close(answering.identifier)
        if isinstance(effect, Finish):
            response.content_type = "application/json"
            response.data = openai.whole(answering, texts, effect)
        else:
            _render(response, effect.refusal, answering.identifier)


def _parse(body: bytes, *, chat: bool) -> openai.Asked:
    try:
        return openai.parse(body, chat=chat)
    except BadRequest as error:
        refusal = Refusal(400, "invalid_request", str(error))
        raise _Refused(refusal, error.field) from error


class Models:
    """The models that a workspace may use."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """List the models."""
        self._answer(request, response, None)

    async def on_get_one(self, request: Any, response: Any, model: str) -> None:
        """Return one model."""
        self._answer(request, response, model)

    def _answer(self, request: Any, response: Any, model: str | None) -> None:
        identifier = self.process.new_request_id()
        try:
            workspace = _authenticate(self.process, request)
        except _Refused as error:
            _render(response, error.refusal, identifier)
            return
        pipelines = self.process.state.settings.list_pipelines(workspace.team)
        cards = {
            pipeline.name: {
                "id": pipeline.name,
                "object": "model",
                "created": 0,
                "owned_by": pipeline.team,
            }
            for pipeline in pipelines
        }
        if model is None:
            response.media = {"object": "list", "data": list(cards.values())}
        elif model in cards:
            response.media = cards[model]
        else:
            text = f"the model {model!r} does not exist"
            _render(response, Refusal(404, "model_not_found", text), identifier)


class Requests:
    """What happened to recent requests."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any, identifier: str) -> None:
        """Return the events of one of the workspace's own requests."""
        try:
            workspace = _authenticate(self.process, request)
        except _Refused as error:
            _render(response, error.refusal, identifier)
            return
        events = self.process.traces.find(identifier, workspace.name)
        if not events:
            text = "no such request of this workspace is kept here"
            _render(response, Refusal(404, "request_not_found", text), identifier)
            return
        response.media = {"events": [event._asdict() for event in events]}


class Services:
    """Calls to plain services."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def __call__(
        self, request: Any, response: Any, service: str, path: str = ""
    ) -> None:
        """Pass a call on to a backend server of the service."""
        identifier = self.process.new_request_id()
        response.set_header(REQUEST_HEADER, identifier)
        try:
            asked = await self._asked(request, identifier, service, "/" + path)
        except _Refused as error:
            _render(response, error.refusal, identifier, error.param)
            return
        if not asked.idempotent:
            response.set_header(KEY_HEADER, asked.message.key)
        queue = self.process.waiters.open(identifier)
        on_disconnect(request, lambda: self.process.dispatch(CallerLeft(identifier)))
        self.process.dispatch(asked)
        try:
            effect = await queue.get()
        finally:
            self.process.waiters.close(identifier)
        if isinstance(effect, ReturnReply):
            _write_reply(response, effect.reply)
        else:
            _render(response, effect.refusal, identifier)

    async def _asked(
        self, request: Any, identifier: str, service_name: str, path: str
    ) -> CallAsked:
        workspace = _authenticate(self.process, request)
        settings = self.process.state.settings
        service = settings.find_service(workspace.team, service_name)
        if service is None:
            text = f"the service {service_name!r} does not exist"
            raise _Refused(Refusal(404, "service_not_found", text))
        route = match_route(service, request.method, path)
        if route is None:
            text = f"{request.method} {path} is not a declared route of {service_name}"
            raise _Refused(Refusal(404, "route_not_declared", text))
        body = await _read_body(request)
        full_path = f"{path}?{request.query_string}" if request.query_string else path
        key = request.get_header(KEY_HEADER) or ""
        if len(key) > MAX_KEY_CHARACTERS:
            text = f"{KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters"
            raise _Refused(Refusal(400, "key_too_long", text), KEY_HEADER)
        message = pb.Call(
            request=identifier,
            workspace=workspace.name,
            service=service_name,
            method=request.method,
            path=full_path,
            body=body,
            headers=[
                pb.Header(name=name, value=value)
                for name in _FORWARDED_HEADERS
                if (value := request.get_header(name))
            ],
        )
        if not route.idempotent:
            message.key = key or f"made-{new_incarnation()}{new_incarnation()}"
            parts = (request.method.encode(), full_path.encode(), body)
            message.digest = hashlib.sha256(b"\0".join(parts)).digest()
        return CallAsked(
            identifier, workspace, service, message, route.idempotent, bool(key)
        )

    on_get = on_post = on_put = on_patch = on_delete = on_head = __call__


def _write_reply(response: Any, reply: pb.Reply) -> None:
    response.status = falcon.code_to_http_status(reply.status)
    response.set_header(OUTCOME_HEADER, "ran")
    if reply.replayed:
        response.set_header("Yuccareach-Replayed", "true")
    response.data = reply.body
    for header in reply.headers:
        response.set_header(header.name, header.value)


def _readiness(process: EntryProcess) -> Readiness:
    """Tell the balancer whether to send callers here."""
    settings, draining = process.state.settings, process.leaving
    ready = settings.revision > 0 and not draining
    return Readiness(ready, {"revision": settings.revision, "draining": draining})


def entry_app(process: EntryProcess) -> Any:
    """Build the HTTP application of an entry."""
    app = falcon.asgi.App()
    app.req_options.strip_url_path_trailing_slash = False
    app.add_route("/v1/chat/completions", Completions(process, chat=True))
    app.add_route("/v1/completions", Completions(process, chat=False))
    models = Models(process)
    app.add_route("/v1/models", models)
    app.add_route("/v1/models/{model}", models, suffix="one")
    app.add_route("/v1/requests/{identifier}", Requests(process))
    app.add_route("/v1/services/{service}/{path:path}", Services(process))
    add_health_routes(
        app,
        lambda: _readiness(process),
        process.gauges,
        lambda: process.metrics,
    )
    app.add_error_handler(Exception, _make_error_handler(process))
    return DisconnectWatch(app)


def _make_error_handler(process: EntryProcess) -> Any:
    async def _handle(request: Any, response: Any, error: Any, params: Any) -> None:
        """Render falcon's own errors as ours, and log what is unexpected."""
        identifier = process.new_request_id()
        if isinstance(error, falcon.HTTPError):
            text = error.title or "bad request"
            _render(response, Refusal(error.status_code, "http", text), identifier)
            return
        process.log.exception("internal_error", extra={"request": identifier})
        text = "an internal error; whether the call ran is not known"
        refusal = Refusal(500, "internal_error", text, Outcome.UNKNOWN)
        _render(response, refusal, identifier)

    return _handle


__all__ = ["entry_app"]
