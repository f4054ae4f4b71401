"""A loopback proxy: each channel through it can be delayed, reset, or silenced in either direction.

Use:
    link = await Link.start(target_port)     # nodes are told link.port
    link.silent_up = True                    # bytes towards the target are held back
"""

import asyncio


class Link:
    def __init__(self, target):
        self.target = target
        self.port = 0
        self.delay = 0.0
        # Bytes are held back until the direction is released; new channels are accepted.
        self.silent_up = False
        self.silent_down = False
        # New channels are reset.
        self.refuse = False
        self._released = asyncio.Event()
        self._writers = set()

    @classmethod
    async def start(cls, target, port=0):
        link = cls(target)
        server = await asyncio.start_server(link._serve, "127.0.0.1", port)
        link.port = server.sockets[0].getsockname()[1]
        link._server = server
        return link

    def release(self):
        """Ends delay, silence and refusal. Bytes that were held back arrive now."""
        self.delay, self.refuse = 0.0, False
        self.silent_up = self.silent_down = False
        self._released.set()
        self._released = asyncio.Event()

    def reset(self):
        """Resets all open channels."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            out_reader, out_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, out_writer}
        await asyncio.gather(self._pump(reader, out_writer, "silent_up"),
                             self._pump(out_reader, writer, "silent_down"))
        self._writers -= {writer, out_writer}

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                while getattr(self, direction):
                    await self._released.wait()
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            while getattr(self, direction):
                await self._released.wait()
            writer.close()
        except OSError:
            writer.transport.abort()
