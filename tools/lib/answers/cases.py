"""What faulty servers send instead of an answer. Use:
    for it in CASES["status"]:
        await it.play(answer, reader, writer)   # `answer` is what a sound server would send
"""

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Awaitable, Callable

# Seconds in which a node reads what was sent before a reset.
GAP = 0.1


@dataclass
class Answer:
    """An answer as its parts: fields as (name, value), body without framing."""
    fields: list
    body: bytes


@dataclass
class Case:
    name: str
    play: Callable[[Answer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    # The answer is whole and must reach the client.
    is_sound: bool = False
    # The request has a body that is still being sent when the answer begins.
    is_early: bool = False
    # Not played where each case takes a second or more.
    is_variant: bool = False


def encode(answer, status="200", line=b"", framing="length"):
    """Bytes of an answer; `line` is one more line of its head."""
    out = b"HTTP/1.1 " + status.encode() + b" Status\r\n"
    for name, value in answer.fields:
        out += f"{name}: {value}\r\n".encode()
    if line:
        out += line + b"\r\n"
    if framing == "length":
        return out + b"Content-Length: %d\r\n\r\n" % len(answer.body) + answer.body
    if framing == "chunks":
        return (out + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(answer.body) + answer.body
                + b"\r\n0\r\n\r\n")
    return out + b"\r\n" + answer.body


def reset(writer):
    """Closes a channel with a reset, whether or not everything has been read."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
    writer.transport.abort()


def sends(name, is_sound=False, framing="length", **parts):
    """A case in which a server sends one answer and closes."""
    async def play(answer, reader, writer):
        if is_sound:
            # No other request may come on a channel that is about to be closed.
            answer.fields.append(("Connection", "close"))
        writer.write(encode(answer, framing=framing, **parts))
        await writer.drain()
        writer.close()
    return Case(f"{name}, {framing}", play, is_sound, is_variant=framing == "chunks")


def invalid_status(status, framing):
    return sends(f"status {status}", framing=framing, status=status)


async def change_protocol(answer, reader, writer):
    """What follows the change of the protocol looks like an answer."""
    writer.write(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: p\r\n\r\n" + encode(answer))
    await writer.drain()
    writer.close()


def beginning(answer):
    """Bytes of an answer without length that stop within its body, in a stream behind an event."""
    event, separator, rest = answer.body.partition(b"\n\n")
    part = event + separator if rest else answer.body[:len(answer.body) // 2]
    return encode(Answer(answer.fields, part), framing="none")


def resets(name, pause, ends_first):
    """A case in which a server answers early and resets the channel while the request is sent."""
    async def play(answer, reader, writer):
        writer.write(beginning(answer))
        await writer.drain()
        if ends_first:
            writer.write_eof()
        await asyncio.sleep(pause)
        reset(writer)
    return Case(name, play, is_early=True)


async def end_early(answer, reader, writer):
    """A whole answer before the request has been read; the rest of the request is read after it."""
    writer.write(encode(answer, framing="none"))
    writer.write_eof()
    await asyncio.sleep(GAP)
    while await reader.read(65536):
        pass
    writer.close()


def invalid_line(line, framing="length"):
    return sends(repr(line), framing=framing, line=line)


INVALID_LINES = [b"X y: v", b"X-Name : v", b"X-Name\t: v", b"X\x01y: v", b"X\x00y: v", b"X\ry: v",
                 b"X\x7fy: v", b"X\xe9y: v", b": v", b"no colon"]
# But for the blank in their names these would frame the body.
INVALID_FRAMING = [b"Content-Length : 4", b"Content-Length\t: 4", b"Transfer-Encoding : chunked"]

CASES = {
    "status": [invalid_status(status, framing)
               for status in ("000", "001", "099", "600", "999")
               for framing in ("length", "chunks", "none")]
              + [Case("status 101", change_protocol)]
              + [sends("sound", is_sound=True, framing=framing)
                 for framing in ("length", "chunks", "none")],
    "fields": [invalid_line(line, framing) for line in INVALID_LINES
               for framing in ("length", "chunks")]
              + [invalid_line(line, "none") for line in INVALID_FRAMING]
              + [sends("folded line", is_sound=True, line=b"X-Fold: a\r\n b: c")],
    "reset": [resets("reset at once", 0, False), resets("reset later", GAP, False),
              resets("end, then reset at once", 0, True), resets("end, then reset", GAP, True),
              Case("sound, ends early", end_early, is_sound=True, is_early=True)],
}

# Heads of the store's broken answers, by the kind of fault.
STORE_CASES = {"status": [{"status": it} for it in ("000", "099", "600")],
               "fields": [{"line": it} for it in (b"X y: v", b"X\x01y: v", b"X-Name : v")]}
