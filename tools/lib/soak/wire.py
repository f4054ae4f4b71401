"""HTTP/1.1 on asyncio streams, for stand-ins that must also misbehave at the level of bytes.

Use:
    request = await read_message(reader)
    writer.write(response(200, {"Server-Stamp": "x"}, b"body"))
"""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD = 64 * 1024


class BrokenMessage(Exception):
    """The channel ended inside a message, or its bytes are no message."""


@dataclass
class Message:
    start: list
    fields: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self):
        return self.start[0]

    @property
    def target(self):
        return self.start[1]

    @property
    def status(self):
        return int(self.start[1])


async def read_head(reader):
    """The next message's head; None if the channel ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise BrokenMessage("ended inside a head") from e
        return None
    except (asyncio.LimitOverrunError, ConnectionError) as e:
        raise BrokenMessage(str(e)) from e
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.fields[name.strip().lower()] = value.strip()
    return message


async def read_chunk(reader):
    """The next chunk of a chunked body; b"" at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
        raise BrokenMessage("ended inside a body") from e
    return data[:size]


def is_chunked(message):
    return "chunked" in message.fields.get("transfer-encoding", "")


async def read_body(reader, message):
    if is_chunked(message):
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    length = int(message.fields.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        raise BrokenMessage("ended inside a body") from e


async def read_message(reader):
    """A whole message; None if the channel ends before its first byte."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def head(start, fields):
    return (start + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode()


def request(method, target, fields, body=b""):
    fields = dict(fields)
    if body or method == "POST":
        fields["Content-Length"] = len(body)
    return head(f"{method} {target} HTTP/1.1", fields) + body


def response(status, fields, body=b""):
    return head(f"HTTP/1.1 {status} X", {**fields, "Content-Length": len(body)}) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def abort(writer):
    """Resets the channel."""
    if writer.transport is not None:
        writer.transport.abort()
