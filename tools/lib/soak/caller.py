"""Callers: they ask which addresses to use, keep channels, retry as far as the kind allows, and leave."""

import asyncio
import json
import os
import uuid

from . import wire
from .ledger import PROMISES, Attempt, digest

KINDS = ("safe", "safe", "unsafe", "unsafe", "resumed", "stream", "quota")
PREFIX = {"safe": "/app/", "unsafe": "/book/", "resumed": "/draft/", "stream": "/talk/",
          "quota": "/app/"}
ROUTE_TIMEOUT = 4.0
# Deadlines are stated in whole milliseconds; nodes check them by their own clocks.
DEADLINE_ROUNDING = 0.01
HOST = "h.example"


class Caller:
    def __init__(self, world, rng):
        self.world, self.rng = world, rng
        self.addresses, self.until = [], 0.0
        self.channel = None

    async def run(self, kinds=KINDS, pause=0.25):
        while not self.world.ending:
            await asyncio.sleep(pause * (0.5 + self.rng.random()))
            await self.request(self.rng.choice(kinds))
        self.close()

    def close(self):
        if self.channel is not None:
            wire.abort(self.channel[2])
            self.channel = None

    async def _resolve(self):
        if self.addresses and self.world.now() < self.until:
            return
        for node in self.rng.sample(self.world.nodes, min(3, len(self.world.nodes))):
            try:
                answer = await asyncio.wait_for(self._ask(node.entry_port), 1.0)
                if answer.status == 200 and json.loads(answer.body)["addresses"]:
                    document = json.loads(answer.body)
                    self.addresses = document["addresses"]
                    self.until = self.world.now() + min(5, document["ttl-s"])
                    return
            except (OSError, wire.BrokenMessage, asyncio.TimeoutError, AttributeError):
                continue

    async def _ask(self, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(wire.request("GET", f"/resolve?name={HOST}&region=r&zone=a",
                                      {"Host": HOST, "Connection": "close"}))
            return await wire.read_message(reader)
        finally:
            wire.abort(writer)

    async def _channel_to(self, excluded):
        """(address, reader, writer) of a kept or new channel; None without one."""
        if self.channel is not None:
            address, reader, writer = self.channel
            if address in self.addresses and address not in excluded and not reader.at_eof():
                return self.channel
            self.close()
        usable = [it for it in self.addresses if it not in excluded] or self.addresses
        if not usable:
            return None
        address = self.rng.choice(usable)
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=wire.MAX_HEAD), 1.0)
        except (OSError, asyncio.TimeoutError):
            excluded.add(address)
            return None
        self.channel = (address, reader, writer)
        return self.channel

    async def request(self, kind):
        """One request with its retries; True if it was served."""
        size = self.rng.randrange(3, 40)
        path = PREFIX[kind] + f"{uuid.UUID(int=self.rng.getrandbits(128)).hex[:8]}/{size}"
        body = os.urandom(self.rng.randrange(0, 3000)) if kind != "safe" else b""
        give_up = self.world.now() + 3.0 + 3.0 * self.rng.random()
        excluded = set()
        for _ in range(4):
            await self._resolve()
            channel = await self._channel_to(excluded)
            left = give_up - self.world.now()
            if left <= 0.3:
                return False
            if channel is None:
                await asyncio.sleep(0.1)
                continue
            attempt, wait = await self.attempt(kind, path, body, channel, left)
            if attempt.end == "answered" and 200 <= attempt.status < 300:
                return True
            if attempt.end == "left" or attempt.status in (400, 401, 403, 404, 413, 431):
                return False
            promised = attempt.status in PROMISES
            if not promised and not attempt.repeatable:
                return False
            excluded.add(channel[0])
            await asyncio.sleep(min(wait, left / 3))
        return False

    async def attempt(self, kind, path, body, channel, left, key=None, proper=True,
                      silence=0.0):
        """One attempt over a channel; gives it and the Retry-After."""
        address, reader, writer = channel
        tenant = "limited" if kind == "quota" else "plain"
        node = self.world.node_at(address)
        attempt = Attempt(uuid.uuid4().hex[:16], node, "safe" if kind == "quota" else kind,
                          "POST" if body else "GET", path, digest(body), tenant, ROUTE_TIMEOUT,
                          proper=proper, silence=silence)
        self.world.ledger.attempts[attempt.id] = attempt
        fields = {"Host": HOST, "Attempt-Id": attempt.id, "Deadline-Ms": int(left * 1000),
                  "X-Api-Key": key or self.world.keys[tenant]}
        attempt.sent = self.world.now()
        patience = left
        leaves = self.rng.random() < 0.03
        if leaves:
            patience = min(left, 0.01 + 0.4 * self.rng.random())
        try:
            writer.write(wire.request(attempt.method, path, fields, body))
            answer = await asyncio.wait_for(self._read(attempt, reader), patience)
        except asyncio.TimeoutError:
            self.world.ledger.ended(attempt, "left")
            self.close()
            return attempt, 0.0
        except (OSError, wire.BrokenMessage):
            # At the deadline that the caller stated it has left, even if the node is the first to
            # end the stream.
            is_over = self.world.now() > attempt.sent + left - DEADLINE_ROUNDING
            self.world.ledger.ended(attempt, "left" if is_over else "cut")
            self.close()
            return attempt, 0.0
        if answer is None:
            # Closed before the first byte: it may have crossed the node's own close of a kept
            # channel, which is no loss unless the request was passed on.
            self.world.ledger.ended(attempt, "cut" if attempt.runs else "unread")
            self.close()
            return attempt, 0.0
        self.world.ledger.ended(attempt, "answered", answer.status)
        if "close" in answer.fields.get("connection", ""):
            self.close()
        return attempt, float(answer.fields.get("retry-after", 0))

    async def _read(self, attempt, reader):
        answer = await wire.read_head(reader)
        if answer is None:
            return None
        if answer.status != 200 or not wire.is_chunked(answer) or attempt.kind not in (
                "resumed", "stream"):
            await wire.read_body(reader, answer)
            self.world.ledger.answer(attempt, answer)
            return answer
        raw, complete = b"", False
        try:
            while data := await wire.read_chunk(reader):
                raw += data
            complete = True
        finally:
            events = [it.decode().split("\n") for it in raw.split(b"\n\n")[:-1]]
            self.world.ledger.stream(
                attempt, [(e[0].removeprefix("id: "), e[1].removeprefix("data: "))
                          for e in events if len(e) == 2], complete)
        return answer
