"""A proxy by HTTP CONNECT, for the connections between the processes under test.

gRPC connects through it where the environment names it as `grpc_proxy`.
"""

import asyncio
import time


class Link:
    """One connection; silent once its bytes are no longer passed on."""

    def __init__(self, target):
        self.target = target
        self.silent = False


class ConnectProxy:
    """Passes connections on, until they are made silent."""

    def __init__(self):
        self.links = set()
        # Monotonic time and target of every connection.
        self.opened = []
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"http://{host}:{port}"

    def silence_open_links(self):
        """Pass nothing on any more on the connections that are open now."""
        for link in self.links:
            link.silent = True
        return len(self.links)

    async def _serve(self, reader, writer):
        other = None
        link = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            host, _, port = target.rpartition(":")
            try:
                other_reader, other = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.write(b"HTTP/1.1 502 Bad Gateway\r\n\r\n")
                return
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            link = Link(target)
            self.links.add(link)
            self.opened.append((time.monotonic(), target))
            await asyncio.wait(
                (
                    asyncio.ensure_future(self._pass_on(link, reader, other)),
                    asyncio.ensure_future(self._pass_on(link, other_reader, writer)),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if link is not None and link.silent:
                # The other end hears nothing of the close, either.
                await asyncio.sleep(60)
            self.links.discard(link)
            writer.close()
            if other is not None:
                other.close()

    async def _pass_on(self, link, reader, writer):
        try:
            while data := await reader.read(65536):
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass

    async def stop(self):
        self.server.close()
