"""The kinds of clients outside the limits that tests play; see __main__.py.

Each takes a Stand and returns its connections, which are still open.
"""

import asyncio

from soak import wire

from .stand import LONG_ANSWER, MAX_BODY

TRAILERS = b"".join(b"T%d: %s\r\n" % (i, b"v" * 1000) for i in range(64))


async def feed(writer, *parts):
    """Sends as much as the node takes; True unless it closes the connection or stops reading."""
    try:
        for it in parts:
            writer.write(it)
            await asyncio.wait_for(writer.drain(), 5.0)
        return True
    except (OSError, asyncio.TimeoutError):
        return False


def chunked(size, total):
    """Chunks of `size` bytes with `total` bytes of payload, in blocks of about 64 KiB."""
    one = wire.chunk(b"b" * size)
    count = max(1, 65536 // len(one))
    left = total // size
    while left > 0:
        n = min(count, left)
        yield one * n
        left -= n


async def endless_trailers(stand):
    """6 clients; a body of one byte, then up to 24 MB of trailers each."""
    async def client():
        _, writer = await stand.connect()
        await feed(writer, stand.head("/short/t"), wire.chunk(b"b"), b"0\r\n", *[TRAILERS] * 360)
        return writer
    return await asyncio.gather(*[client() for _ in range(6)])


async def stopped_bodies(stand, size, count=40):
    """Bodies that stop 32 bytes or a chunk short of max-body-bytes and stay open."""
    async def client():
        _, writer = await stand.connect()
        await feed(writer, stand.head("/short/b"), *chunked(size, MAX_BODY - max(32, size)))
        return writer
    return await asyncio.gather(*[client() for _ in range(count)])


async def stopped_large_chunks(stand):
    return await stopped_bodies(stand, 65536)


async def stopped_tiny_chunks(stand):
    return await stopped_bodies(stand, 8)


async def announced_too_long(stand):
    """40 clients that announce 1 GB and send 8 MiB of it."""
    async def client():
        _, writer = await stand.connect()
        await feed(writer, stand.head("/short/a", **{"Content-Length": 1_000_000_000}),
                   *[b"b" * 65536] * 128)
        return writer
    return await asyncio.gather(*[client() for _ in range(40)])


async def sent_too_long(stand):
    """40 clients that stop just short of the limit and, once all have got there, send as much again."""
    writers = await stopped_bodies(stand, 65536)
    await asyncio.gather(*[feed(it, *chunked(65536, MAX_BODY)) for it in writers])
    return writers


async def slow_heads(stand):
    """400 connections, each with 15 KB of a head that does not end; more than there are descriptors."""
    async def client(number):
        try:
            _, writer = await asyncio.wait_for(stand.connect(), 5.0)
        except (OSError, asyncio.TimeoutError):
            return None
        await feed(writer, stand.head("/short/h")[:-2] + b"X-Long: " + b"h" * 15000)
        return writer
    return [it for it in await asyncio.gather(*[client(i) for i in range(400)]) if it is not None]


async def slow_readers(stand):
    """80 clients that ask for long answers and read nothing."""
    async def client():
        _, writer = await stand.connect(receive_buffer=4096)
        # The stream's own buffer must not take the answer either.
        writer.transport.pause_reading()
        await feed(writer, wire.request("POST", "/long/r", stand.fields(), b"x"))
        return writer
    return await asyncio.gather(*[client() for _ in range(80)])


async def all_at_once(stand):
    groups = await asyncio.gather(
        endless_trailers(stand), stopped_bodies(stand, 65536, 15), stopped_bodies(stand, 8, 15),
        announced_too_long(stand), slow_readers(stand))
    return [writer for group in groups for writer in group]


async def in_calm(stand):
    """A single request within the limits, in the least favourable framing, is served."""
    chunks = wire.chunk(b"b") * MAX_BODY
    if await stand.ask("/short/calm", chunks=chunks, timeout=60.0) != 200:
        raise AssertionError("a body of max-body-bytes in chunks of one byte was not served")
    if await stand.ask("/short/calm", body=b"b" * MAX_BODY, timeout=60.0) != 200:
        raise AssertionError("a body of max-body-bytes with a length was not served")
    if await stand.ask("/long/calm", timeout=60.0) != 200:
        raise AssertionError(f"an answer of {LONG_ANSWER} bytes was not served")
    return []


KINDS = {it.__name__: it for it in (
    endless_trailers, stopped_large_chunks, stopped_tiny_chunks, announced_too_long, sent_too_long,
    slow_heads, slow_readers, all_at_once, in_calm)}
