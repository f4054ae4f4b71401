"""Load that a fault adds: large request bodies, many at once, and streams through one node."""

import asyncio
import hashlib
import os
import random
import uuid

from . import wire
from .caller import HOST, Caller
from .ledger import Attempt

# Largest body that the operator's configuration allows.
MAX_BODY = 4 << 20
SLICE = 64 * 1024
# Source address of the connections with large bodies: a node bounds the connections of one address.
BODY_ADDRESS = "127.0.0.3"
# A caller with a large body gives up after this time.
BODY_PATIENCE = 12.0
STREAM_PATIENCE = 10.0
STREAM_EVENTS = 39


async def send_bodies(world, node, count, rng):
    """Sends `count` requests with bodies up to MAX_BODY to a node at once."""
    content = memoryview(os.urandom(MAX_BODY))
    sizes = [MAX_BODY if i % 4 == 0 else int(MAX_BODY * (0.3 + 0.7 * rng.random()))
             for i in range(count)]
    await asyncio.gather(*[_send_body(world, node, content[:size]) for size in sizes])


async def _send_body(world, node, body):
    attempt = Attempt(uuid.uuid4().hex[:16], node.name, "unsafe", "POST",
                      f"/book/{uuid.uuid4().hex[:8]}/1", hashlib.sha256(body).hexdigest()[:16],
                      "plain", float("inf"), sent=world.now(), large=True)
    world.ledger.attempts[attempt.id] = attempt
    writer = None
    try:
        async with asyncio.timeout(BODY_PATIENCE):
            reader, writer = await asyncio.open_connection(
                *node.address.split(":"), limit=wire.MAX_HEAD, local_addr=(BODY_ADDRESS, 0))
            sending = asyncio.create_task(_write_body(world, attempt, writer, body))
            try:
                answer = await wire.read_message(reader)
            finally:
                sending.cancel()
        if answer is None:
            world.ledger.ended(attempt, "cut" if attempt.runs else "unread")
        else:
            world.ledger.answer(attempt, answer)
            world.ledger.ended(attempt, "answered", answer.status)
            world.ledger.count(f"large {answer.status}")
    except asyncio.TimeoutError:
        world.ledger.ended(attempt, "left")
    except (OSError, wire.BrokenMessage):
        world.ledger.ended(attempt, "cut")
    if writer is not None:
        wire.abort(writer)


async def _write_body(world, attempt, writer, body):
    fields = {"Host": HOST, "Attempt-Id": attempt.id, "Deadline-Ms": int(BODY_PATIENCE * 1000),
              "X-Api-Key": world.keys["plain"], "Content-Length": len(body)}
    try:
        writer.write(wire.head(f"POST {attempt.path} HTTP/1.1", fields))
        for at in range(0, len(body), SLICE):
            writer.write(body[at:at + SLICE])
            await writer.drain()
        # The time limit of the route counts from the whole request on.
        attempt.sent = world.now()
    except OSError:
        # The reader reports how the request ended.
        pass


async def open_streams(world, node, count, silence, rng):
    """Tasks of `count` long streams through a node, most of them of the resumable route, within which
    each server is silent for a time from the range `silence`."""
    callers = [Caller(world, random.Random(rng.random())) for _ in range(count)]
    return [asyncio.create_task(_stream(it, node, "resumed" if i % 4 else "stream",
                                        rng.uniform(*silence))) for i, it in enumerate(callers)]


async def _stream(caller, node, kind, silence):
    caller.addresses, caller.until = [node.address], float("inf")
    channel = await caller._channel_to(set())
    if channel is not None:
        path = {"resumed": "/draft/", "stream": "/talk/"}[kind]
        path += f"{uuid.uuid4().hex[:8]}/{STREAM_EVENTS}"
        await caller.attempt(kind, path, b"", channel, STREAM_PATIENCE, silence=silence)
        caller.close()
