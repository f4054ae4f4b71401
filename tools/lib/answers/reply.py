"""Answers as clients receive them, byte by byte. Use:
    reply = await exchange(port, request, patience)     # raises NoAnswer for bytes that are none
"""

import asyncio
import re
from dataclasses import dataclass, field

from soak import wire

STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e\x80-\xff]*\Z")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*([\t\x20-\x7e\x80-\xff]*)\Z")


class NoAnswer(Exception):
    """Bytes that a client may not be sent."""


@dataclass
class Reply:
    status: int = 0
    fields: dict = field(default_factory=dict)
    body: bytes = b""
    # False if the channel ended inside the answer.
    is_whole: bool = False


def read_chunks(raw):
    """The body of a chunked answer, and whether it is whole."""
    body = b""
    while True:
        size, line_end, rest = raw.partition(b"\r\n")
        if not line_end:
            return body, False
        n = int(size.split(b";")[0], 16)
        if n == 0:
            return body, rest == b"\r\n"
        if len(rest) < n + 2:
            return body + rest[:n], False
        body, raw = body + rest[:n], rest[n + 2:]


def read_reply(raw):
    """What a client has received on a channel up to its end. Raises NoAnswer for what is none."""
    if not raw:
        return Reply()
    head, separator, rest = raw.partition(b"\r\n\r\n")
    if not separator:
        raise NoAnswer(f"the channel ended inside a head: {raw[:200]!r}")
    first, *lines = head.split(b"\r\n")
    status = STATUS_LINE.match(first)
    fields = [FIELD.match(it) for it in lines]
    if status is None or None in fields:
        raise NoAnswer(f"a head that is none: {head!r}")
    out = Reply(int(status[1]), {it[1].decode().lower(): it[2].decode("latin-1") for it in fields})
    if "transfer-encoding" in out.fields:
        out.body, out.is_whole = read_chunks(rest)
    else:
        length = int(out.fields["content-length"])
        if len(rest) > length:
            raise NoAnswer(f"bytes behind the answer: {raw[-200:]!r}")
        out.body, out.is_whole = rest, len(rest) == length
    return out


async def exchange(port, request, patience):
    """Sends a request that asks for the end of the channel, and reads up to that end, for
    `patience` seconds."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    raw = b""
    try:
        writer.write(request)
        async with asyncio.timeout(patience):
            while part := await reader.read(65536):
                raw += part
    except ConnectionError:
        # A reset breaks off an answer, as an end of the channel does.
        pass
    except asyncio.TimeoutError:
        raise NoAnswer(f"no end within {patience} s: {raw[:200]!r}") from None
    finally:
        wire.abort(writer)
    return read_reply(raw)
