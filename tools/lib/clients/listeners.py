"""Clients outside the limits at each listener of a node; see __main__.py.

Each test plays, one after the other: heads without end, heads that are sent slowly, idle
connections, and messages that announce a large length. An ordinary request must be answered beside
each of them.
"""

import asyncio
import struct

from soak import wire

from .kinds import feed

# More connections than the lowered number of descriptors.
CONNECTIONS = 400
SENDERS = 40
# A slow sender sends a byte in each of these periods; together they exceed no time-out by much.
SLOW_PERIOD, SLOW_BYTES = 0.25, 16
BLOCK = b"b" * 65536
HUGE = 10 ** 15


class HttpListener:
    """What is sent to a listener that reads HTTP."""
    begin = b"GET / HTTP/1.1\r\nHost: h\r\n"
    endless = [begin] + [b"X-Long: " + b"h" * 8000 + b"\r\n"] * 1000
    slow = begin + b"X-Long: " + b"h" * 15000
    large = [[begin + b"Content-Length: %d\r\n\r\n" % HUGE] + [BLOCK] * 32,
             [begin + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % HUGE] + [BLOCK] * 32]


class PeerListener:
    """What is sent to the listener of the nodes, which reads frames; no sender proves itself."""
    endless = [struct.pack(">I", 1000) + b"b" * 1000] * 4000
    slow = struct.pack(">I", 1000) + b"b" * 900
    large = [[struct.pack(">I", length)] + [BLOCK] * 32 for length in (0xffffffff, 1 << 20, 1025)]


async def endless_heads(stand, port, what):
    return await asyncio.gather(*[sender(stand, port, what.endless) for _ in range(SENDERS)])


async def slow_heads(stand, port, what):
    writers = await idle(stand, port, what)
    for it in writers:
        await feed(it, what.slow)
    for _ in range(SLOW_BYTES):
        await asyncio.sleep(SLOW_PERIOD)
        for it in writers:
            if not it.is_closing():
                it.write(b"h")
    return writers


async def idle(stand, port, what, **more):
    async def client():
        try:
            return (await asyncio.wait_for(stand.connect(port=port, **more), 5.0))[1]
        except (OSError, asyncio.TimeoutError):
            return None
    return [it for it in await asyncio.gather(*[client() for _ in range(CONNECTIONS)]) if it]


async def large_lengths(stand, port, what):
    return await asyncio.gather(*[sender(stand, port, parts) for parts in what.large
                                  for _ in range(SENDERS)])


async def sender(stand, port, parts):
    _, writer = await stand.connect(port=port)
    await feed(writer, *parts)
    return writer


async def play_all(stand, port, what):
    for case in (endless_heads, slow_heads, large_lengths, idle):
        writers = await case(stand, port, what)
        if await stand.ask_until_answered("/short/beside") != 200:
            raise AssertionError(f"no ordinary request was answered beside {case.__name__}")
        if case is idle:
            return writers
        for it in writers:
            wire.abort(it)
    return []


async def listener_callers(stand):
    return await play_all(stand, stand.front, HttpListener)


async def listener_entry(stand):
    return await play_all(stand, stand.entry, HttpListener)


async def listener_ready(stand):
    return await play_all(stand, stand.ready, HttpListener)


async def listener_admin(stand):
    """Operators and metrics share a listener."""
    return await play_all(stand, stand.admin, HttpListener)


async def listener_peers(stand):
    return await play_all(stand, stand.peer, PeerListener)


async def idle_everywhere(stand):
    """Idle connections at all listeners at once; callers have two addresses, as each is bounded."""
    groups = [await idle(stand, port, None, address=address)
              for port, address in ((stand.front, "127.0.0.2"), (stand.front, "127.0.0.3"),
                                    (stand.entry, "127.0.0.2"), (stand.ready, "127.0.0.2"),
                                    (stand.admin, "127.0.0.2"), (stand.peer, "127.0.0.2"))]
    return [it for group in groups for it in group]


# Enough descriptors that each listener has fewer for itself, but not all of them together.
DESCRIPTORS_EVERYWHERE = 900

LISTENERS = {it.__name__: it for it in (
    listener_callers, listener_entry, listener_ready, listener_admin, listener_peers,
    idle_everywhere)}
