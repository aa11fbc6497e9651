"""The entry's HTTP application, for callers and for health checks."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi

from yuccareach.entry import openai
from yuccareach.entry.disconnects import DisconnectMiddleware, add_disconnect_callback
from yuccareach.entry.errors import InvalidRequest
from yuccareach.entry.events import (
    CallerDisconnected,
    CallRequested,
    CompletionRequested,
    DeliverToken,
    FinishAnswer,
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
REQUEST_ID_HEADER = "Yuccareach-Request"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
_FORWARDED_REQUEST_HEADERS = ("content-type", "accept", "accept-language")
_END_OF_STREAM = b"data: [DONE]\n\n"


class _RequestRefused(Exception):
    """Carries a refusal to the handler, which writes it as the response."""

    def __init__(self, refusal: Refusal, param: str | None = None) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal
        self.param = param


def _write_refusal(
    response: Any, refusal: Refusal, request_id: str, param: str | None = None
) -> None:
    """Write a refusal to the response: an error body, with the outcome in a header."""
    response.status = falcon.code_to_http_status(refusal.status)
    response.set_header(OUTCOME_HEADER, str(refusal.outcome))
    if refusal.retry_after_s is not None:
        response.set_header("Retry-After", str(refusal.retry_after_s))
    response.content_type = "application/json"
    response.data = openai.encode_error(refusal, request_id, param)


def _authenticate(process: EntryProcess, request: Any) -> Workspace:
    """Return the workspace of the API key in the Authorization header."""
    header = request.get_header("Authorization") or ""
    scheme, _, key = header.partition(" ")
    if scheme.lower() == "bearer" and key:
        workspace = process.state.settings.workspace_by_key_hash.get(
            hash_key(key.strip())
        )
        if workspace is not None:
            return workspace
    raise _RequestRefused(Refusal(401, "invalid_api_key", "the API key is not valid"))


async def _read_body(request: Any) -> bytes:
    """Read a request body of at most MAX_BODY_BYTES."""
    refusal = Refusal(
        413, "body_too_large", f"the body is longer than {MAX_BODY_BYTES} bytes"
    )
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise _RequestRefused(refusal)
    body = bytearray()
    async for chunk in request.stream:
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise _RequestRefused(refusal)
    return bytes(body)


class CompletionsResource:
    """The endpoint for chat completions or the one for text completions."""

    def __init__(self, process: EntryProcess, *, chat: bool) -> None:
        self.process = process
        self.chat = chat

    async def on_post(self, request: Any, response: Any) -> None:
        """Answer a prompt, as a stream or in one body."""
        identifier = self.process.new_request_id()
        response.set_header(REQUEST_ID_HEADER, identifier)
        try:
            workspace = _authenticate(self.process, request)
            body = _parse_body(await _read_body(request), chat=self.chat)
        except _RequestRefused as error:
            _write_refusal(response, error.refusal, identifier, error.param)
            return
        queue = self.process.response_queues.open(identifier)
        add_disconnect_callback(request, lambda: self._handle_disconnect(identifier))
        self.process.dispatch(
            CompletionRequested(
                identifier, workspace, body.model, body.prompt, body.max_tokens
            )
        )
        first_effect = await queue.get()
        if isinstance(first_effect, Refuse):
            self.process.response_queues.close(identifier)
            _write_refusal(response, first_effect.refusal, identifier)
            return
        metadata = openai.AnswerMetadata(
            identifier, body.model, wall_clock_ms() // 1000, self.chat
        )
        if body.stream:
            response.content_type = "text/event-stream"
            response.set_header("Cache-Control", "no-store")
            response.stream = self._stream_answer(
                metadata, queue, first_effect, include_usage=body.include_usage
            )
        else:
            await self._write_answer(response, metadata, queue, first_effect)

    def _handle_disconnect(self, identifier: str) -> None:
        queue = self.process.response_queues.queue_by_request_id.get(identifier)
        if queue is not None:
            text = "the caller closed the connection"
            queue.put_nowait(Refuse(identifier, Refusal(499, "caller_left", text)))
        self.process.dispatch(CallerDisconnected(identifier))

    async def _stream_answer(
        self,
        metadata: openai.AnswerMetadata,
        queue: asyncio.Queue[Any],
        effect: Any,
        *,
        include_usage: bool,
    ) -> AsyncIterator[bytes]:
        """Yield server-sent events until the answer is complete or has failed."""
        try:
            while isinstance(effect, DeliverToken):
                data = openai.encode_chunk(metadata, effect.text, effect.token_index)
                yield b"data: " + data + b"\n\n"
                effect = await queue.get()
            if isinstance(effect, FinishAnswer):
                yield b"data: " + openai.encode_finish_chunk(metadata, effect) + b"\n\n"
                if include_usage:
                    yield b"data: " + openai.encode_usage(metadata, effect) + b"\n\n"
                yield _END_OF_STREAM
            else:
                error = openai.encode_error(effect.refusal, metadata.identifier)
                yield b"data: " + error + b"\n\n"
        finally:
            self.process.response_queues.close(metadata.identifier)
            self.process.dispatch(CallerDisconnected(metadata.identifier))

    async def _write_answer(
        self,
        response: Any,
        metadata: openai.AnswerMetadata,
        queue: asyncio.Queue[Any],
        effect: Any,
    ) -> None:
        """Collect all tokens, then write the answer in one body."""
        texts: list[str] = []
        while isinstance(effect, DeliverToken):
            texts.append(effect.text)
            effect = await queue.get()
        self.process.response_queues.close(metadata.identifier)
        if isinstance(effect, FinishAnswer):
            response.content_type = "application/json"
            response.data = openai.encode_completion(metadata, texts, effect)
        else:
            _write_refusal(response, effect.refusal, metadata.identifier)


def _parse_body(body: bytes, *, chat: bool) -> openai.CompletionBody:
    try:
        return openai.parse_body(body, chat=chat)
    except InvalidRequest as error:
        refusal = Refusal(400, "invalid_request", str(error))
        raise _RequestRefused(refusal, error.field) from error


class ModelsResource:
    """The endpoints that list the models that a workspace may use."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """List the models."""
        self._write_models(request, response, None)

    async def on_get_one(self, request: Any, response: Any, model: str) -> None:
        """Return one model."""
        self._write_models(request, response, model)

    def _write_models(self, request: Any, response: Any, model: str | None) -> None:
        identifier = self.process.new_request_id()
        try:
            workspace = _authenticate(self.process, request)
        except _RequestRefused as error:
            _write_refusal(response, error.refusal, identifier)
            return
        pipelines = self.process.state.settings.list_pipelines(workspace.team)
        model_by_name = {
            pipeline.name: {
                "id": pipeline.name,
                "object": "model",
                "created": 0,
                "owned_by": pipeline.team,
            }
            for pipeline in pipelines
        }
        if model is None:
            response.media = {"object": "list", "data": list(model_by_name.values())}
        elif model in model_by_name:
            response.media = model_by_name[model]
        else:
            text = f"the model {model!r} does not exist"
            _write_refusal(response, Refusal(404, "model_not_found", text), identifier)


class RequestEventsResource:
    """The endpoint that returns the logged events of a recent request."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any, identifier: str) -> None:
        """Return the events of a request, if it is of the caller's workspace."""
        try:
            workspace = _authenticate(self.process, request)
        except _RequestRefused as error:
            _write_refusal(response, error.refusal, identifier)
            return
        events = self.process.traces.find(identifier, workspace.name)
        if not events:
            text = "this entry holds no events of this request for this workspace"
            _write_refusal(
                response, Refusal(404, "request_not_found", text), identifier
            )
            return
        response.media = {"events": [event._asdict() for event in events]}


class ServicesResource:
    """The endpoint that forwards calls to plain services."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process

    async def __call__(
        self, request: Any, response: Any, service: str, path: str = ""
    ) -> None:
        """Forward a call to a backend server of the service and return its reply."""
        identifier = self.process.new_request_id()
        response.set_header(REQUEST_ID_HEADER, identifier)
        try:
            event = await self._parse_call(request, identifier, service, "/" + path)
        except _RequestRefused as error:
            _write_refusal(response, error.refusal, identifier, error.param)
            return
        if not event.idempotent:
            response.set_header(IDEMPOTENCY_KEY_HEADER, event.message.key)
        queue = self.process.response_queues.open(identifier)
        add_disconnect_callback(
            request, lambda: self.process.dispatch(CallerDisconnected(identifier))
        )
        self.process.dispatch(event)
        try:
            effect = await queue.get()
        finally:
            self.process.response_queues.close(identifier)
        if isinstance(effect, ReturnReply):
            _write_reply(response, effect.reply)
        else:
            _write_refusal(response, effect.refusal, identifier)

    async def _parse_call(
        self, request: Any, identifier: str, service_name: str, path: str
    ) -> CallRequested:
        workspace = _authenticate(self.process, request)
        settings = self.process.state.settings
        service = settings.find_service(workspace.team, service_name)
        if service is None:
            text = f"the service {service_name!r} does not exist"
            raise _RequestRefused(Refusal(404, "service_not_found", text))
        route = match_route(service, request.method, path)
        if route is None:
            text = f"{request.method} {path} is not a declared route of {service_name}"
            raise _RequestRefused(Refusal(404, "route_not_declared", text))
        body = await _read_body(request)
        full_path = f"{path}?{request.query_string}" if request.query_string else path
        key = request.get_header(IDEMPOTENCY_KEY_HEADER) or ""
        if len(key) > MAX_KEY_CHARACTERS:
            text = (
                f"{IDEMPOTENCY_KEY_HEADER} is longer than"
                f" {MAX_KEY_CHARACTERS} characters"
            )
            raise _RequestRefused(
                Refusal(400, "key_too_long", text), IDEMPOTENCY_KEY_HEADER
            )
        message = pb.Call(
            request=identifier,
            workspace=workspace.name,
            service=service_name,
            method=request.method,
            path=full_path,
            body=body,
            headers=[
                pb.Header(name=name, value=value)
                for name in _FORWARDED_REQUEST_HEADERS
                if (value := request.get_header(name))
            ],
        )
        if not route.idempotent:
            message.key = key or f"made-{new_incarnation()}{new_incarnation()}"
            parts = (request.method.encode(), full_path.encode(), body)
            message.digest = hashlib.sha256(b"\0".join(parts)).digest()
        return CallRequested(
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


def _check_readiness(process: EntryProcess) -> Readiness:
    """Return whether a load balancer should send callers to this entry."""
    settings, draining = process.state.settings, process.is_shutting_down
    ready = settings.revision > 0 and not draining
    return Readiness(ready, {"revision": settings.revision, "draining": draining})


def build_entry_app(process: EntryProcess) -> Any:
    """Build the HTTP application of an entry."""
    app = falcon.asgi.App()
    app.req_options.strip_url_path_trailing_slash = False
    app.add_route("/v1/chat/completions", CompletionsResource(process, chat=True))
    app.add_route("/v1/completions", CompletionsResource(process, chat=False))
    models = ModelsResource(process)
    app.add_route("/v1/models", models)
    app.add_route("/v1/models/{model}", models, suffix="one")
    app.add_route("/v1/requests/{identifier}", RequestEventsResource(process))
    app.add_route("/v1/services/{service}/{path:path}", ServicesResource(process))
    add_health_routes(
        app, lambda: _check_readiness(process), process.gauges, lambda: process.metrics
    )
    app.add_error_handler(Exception, _make_error_handler(process))
    return DisconnectMiddleware(app)


def _make_error_handler(process: EntryProcess) -> Any:
    async def _handle_error(
        request: Any, response: Any, error: Any, params: Any
    ) -> None:
        """Write falcon's HTTP errors as refusals, and log all other exceptions."""
        identifier = process.new_request_id()
        if isinstance(error, falcon.HTTPError):
            text = error.title or "invalid request"
            _write_refusal(
                response, Refusal(error.status_code, "http", text), identifier
            )
            return
        process.log.exception("internal_error", extra={"request": identifier})
        text = "internal error; the request may have run"
        refusal = Refusal(500, "internal_error", text, Outcome.UNKNOWN)
        _write_refusal(response, refusal, identifier)

    return _handle_error


__all__ = ["build_entry_app"]
