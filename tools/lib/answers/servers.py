"""Servers that answer the first arrival of a request as a case says, and all others soundly."""

import asyncio
import socket

from soak import wire

from .cases import reset

RECEIVE_BUFFER = 8192


class Servers:
    def __init__(self, id_field, sound):
        """`id_field` of a head names a request; `sound(prefix, id, server)` is the sound answer."""
        self.id_field, self.sound = id_field, sound
        # By id: how the first arrival is answered, and the servers that the request has reached.
        self.cases = {}
        self.arrivals = {}

    async def listen(self, server, port=0):
        # A request of some hundred kilobytes stays with its sender until it is read.
        listener = socket.create_server(("127.0.0.1", port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        return await asyncio.start_server(lambda r, w: self._serve(server, r, w), sock=listener,
                                          limit=RECEIVE_BUFFER)

    async def _serve(self, server, reader, writer):
        try:
            while (head := await wire.read_head(reader)) is not None:
                id = head.fields[self.id_field]
                answer = self.sound("/" + head.target.split("/")[1] + "/", id, server)
                arrivals = self.arrivals.setdefault(id, [])
                arrivals.append(server)
                case = self.cases.get(id) if len(arrivals) == 1 else None
                if case is None or not case.is_early:
                    await wire.read_body(reader, head)
                if case is not None:
                    await case.play(answer, reader, writer)
                    return
                writer.write(wire.response(200, dict(answer.fields), answer.body))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        reset(writer)
