"""Proxies for the gRPC connections between the processes under test.

gRPC connects through the proxy that the environment names as `grpc_proxy`, with HTTP
CONNECT. Each instance has a proxy of its own for the connections that it opens.
"""

from __future__ import annotations

import asyncio
import contextlib

READ_SIZE_BYTES = 65_536
# Name of the variable in the environment of a process, which gRPC reads.
PROXY_VARIABLE = "grpc_proxy"


class Link:
    """One connection; silent once its bytes are no longer passed on."""

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.is_silent = False


class LinkProxies:
    """The proxies of all instances, by host."""

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self.url_by_host: dict[str, str] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def get_url(self, host: str) -> str:
        """Return the URL of an instance's proxy, which is started if it is not yet."""
        if host not in self.url_by_host:

            def _accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                task = asyncio.create_task(self._serve(host, reader, writer))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

            server = await asyncio.start_server(_accept, "127.0.0.1", 0)
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.url_by_host[host] = f"http://127.0.0.1:{port}"
        return self.url_by_host[host]

    def silence(self, host: str = "") -> int:
        """Pass nothing on any more on the open connections of an instance, or of all.

        The connections are neither closed nor reset, and new ones work. Returns how
        many there are.
        """
        links = [
            link
            for link in self.links
            if not host or host in (link.source, link.target.rpartition(":")[0])
        ]
        for link in links:
            link.is_silent = True
        return len(links)

    async def _serve(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer = None
        link = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            host, _, port = target.rpartition(":")
            try:
                target_reader, target_writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                writer.write(b"HTTP/1.1 502 Bad Gateway\r\n\r\n")
                return
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            link = Link(source, target)
            self.links.add(link)
            await _pass_on_both_ways(link, reader, writer, target_reader, target_writer)
        except (OSError, asyncio.IncompleteReadError):
            # An end of the connection is gone.
            pass
        finally:
            if link is not None:
                self.links.discard(link)
            writer.close()
            if target_writer is not None:
                target_writer.close()

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _pass_on_both_ways(
    link: Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target_reader: asyncio.StreamReader,
    target_writer: asyncio.StreamWriter,
) -> None:
    """Pass on bytes until one end closes, or both if the connection is silent.

    The end of a silent connection is not passed on either.
    """
    tasks = [
        asyncio.create_task(_pass_on(link, reader, target_writer)),
        asyncio.create_task(_pass_on(link, target_reader, writer)),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if link.is_silent:
            await asyncio.wait(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _pass_on(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            if not link.is_silent:
                writer.write(data)
                await writer.drain()


__all__ = ["PROXY_VARIABLE", "LinkProxies"]
