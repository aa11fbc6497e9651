"""Creation of gRPC servers, and the codes of failed calls."""

from __future__ import annotations

import grpc

from yuccareach.errors import UsageError
from yuccareach.runtime.links import SERVER_OPTIONS


def listen(host: str, port: int) -> tuple[grpc.aio.Server, str]:
    """Return a gRPC server, not yet started, and the address that it is bound to.

    Raises UsageError naming the address if it cannot be used.
    """
    server = grpc.aio.server(options=SERVER_OPTIONS)
    try:
        bound_port = server.add_insecure_port(f"{host}:{port}")
    except RuntimeError as error:
        raise UsageError(f"cannot listen on {host}:{port}") from error
    return server, f"{host}:{bound_port}"


def get_error_code(error: grpc.RpcError) -> str:
    """Return the name of a failed call's status, or of the error without one."""
    code = error.code() if hasattr(error, "code") else None
    return code.name if code is not None else type(error).__name__


__all__ = ["get_error_code", "listen"]
