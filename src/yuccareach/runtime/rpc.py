"""Starting gRPC servers on one address."""

from __future__ import annotations

import grpc

from yuccareach.errors import UsageError
from yuccareach.runtime.links import SERVER_OPTIONS


def listen(host: str, port: int) -> tuple[grpc.aio.Server, str]:
    """Create a server bound to an address, or raise UsageError naming it."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    try:
        bound = server.add_insecure_port(f"{host}:{port}")
    except RuntimeError as error:
        raise UsageError(f"cannot listen on {host}:{port}") from error
    return server, f"{host}:{bound}"


__all__ = ["listen"]
