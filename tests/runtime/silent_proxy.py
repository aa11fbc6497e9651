"""A TCP proxy whose open connections can fall silent while new ones work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import Callable

READ_SIZE_BYTES = 65_536


class _Connection:
    """One connection; it discards the bytes of the directions that are silent."""

    def __init__(self) -> None:
        self.to_server_silent = False
        self.to_client_silent = False
        self.tasks: list[asyncio.Task[None]] = []


class SilentProxy:
    """Passes connections on to one address, until they are made silent.

    A silent connection is neither closed nor reset, and its ends hear nothing of each
    other's close.
    """

    def __init__(self, target: str) -> None:
        self.target_host, _, self.target_port = target.rpartition(":")
        self.connections: list[_Connection] = []
        self.accepts_silently = False
        # Cleared while bytes are held back.
        self.passing = asyncio.Event()
        self.passing.set()
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Listen on a free port of loopback, and return the address."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def silence(self, *, to_server: bool = True, to_client: bool = True) -> int:
        """Pass nothing on any more on open connections; return their number."""
        for connection in self.connections:
            connection.to_server_silent |= to_server
            connection.to_client_silent |= to_client
        return len(self.connections)

    def pause(self) -> None:
        """Hold back all bytes, as where the peer's process is paused."""
        self.passing.clear()

    def resume(self) -> None:
        """Pass on the bytes that were held back, and those that follow."""
        self.passing.set()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.tasks.append(asyncio.create_task(self._serve(reader, writer)))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection()
        self.connections.append(connection)
        if self.accepts_silently:
            connection.to_server_silent = connection.to_client_silent = True
        target_reader, target_writer = await asyncio.open_connection(
            self.target_host, int(self.target_port)
        )
        passing = [
            asyncio.create_task(
                self._pass_on(
                    reader, target_writer, lambda: connection.to_server_silent
                )
            ),
            asyncio.create_task(
                self._pass_on(
                    target_reader, writer, lambda: connection.to_client_silent
                )
            ),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            if connection.to_server_silent or connection.to_client_silent:
                await asyncio.Event().wait()
        finally:
            await cancel_tasks(passing)
            writer.close()
            target_writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                await self.passing.wait()
                if not is_silent():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # A reset ends the direction like a close.
            return

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        await cancel_tasks(self.tasks)
