"""A backend server of the users: plain answers and streams, and the ways in which it misbehaves."""

import asyncio
from dataclasses import dataclass

from . import wire
from .link import Link

HEARTBEAT = 1.2
SLOTS = 8
EVENT_GAP = 0.03


class Server:
    def __init__(self, world, id, service, zone, rng, version=None):
        self.world, self.id, self.service, self.zone, self.rng = world, id, service, zone, rng
        self.version = version or world.versions[service]
        self.state = "ready"
        self.born = int(world.wall() * 1000)
        # When the store accepted that it leaves, or when it ended.
        self.left_at = None
        self.alive = False
        self.running = 0
        self.runs = 0
        self.sequence = 0
        # Faults: slower by this factor; broken answers to come; no work and no answers.
        self.slow = 1.0
        self.cut_next = 0
        self.extra_next = 0
        self.frozen = False
        # Part of the responses of a bad version that fail.
        self.spoils = 0.0
        # Cannot reach the store; shortest and longest silence within each stream, in seconds.
        self.is_cut_off = False
        self.silence = None
        # What it says of itself: requests per second that it takes from all nodes together; how many
        # requests it will turn away, and for how many seconds it then wants none from that node.
        self.limit = None
        self.pause_next = 0
        self.pause = 0.0
        self._writers = set()

    async def start(self, link):
        self.link = link
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", link.target,
                                                  limit=wire.MAX_HEAD)
        self.alive = True
        self.announce()
        self._beat = asyncio.create_task(self._heartbeat())

    def announce(self):
        self.sequence += 1
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.link.port}", "zone": self.zone,
            "version": self.version, "slots": SLOTS, "state": self.state, "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            # A report that the store does not accept is sent again with the next one.
            if self.world.store.mode == "ok" and not self.frozen and not self.is_cut_off:
                self.announce()

    async def drain(self, extra, announced=True):
        """Leaves as planned: serves for the drain time and `extra` longer, then exits."""
        while self.world.store.mode != "ok":
            await asyncio.sleep(0.1)
        if announced:
            self.state = "draining"
            self.announce()
        else:
            self._beat.cancel()
            self.world.store.remove(f"servers/{self.id}")
        self.left_at = self.world.now()
        await asyncio.sleep(2.0 + extra)
        while self.running and self.world.now() - self.left_at < 10:
            await asyncio.sleep(0.05)
        self.stop()
        self.world.store.remove(f"servers/{self.id}")

    def stop(self):
        """Ends at once: channels are reset. The entry stays until it lapses."""
        self.alive = False
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            wire.abort(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.alive:
                request = await wire.read_message(reader)
                if request is None or not await self._handle(request, reader, writer):
                    break
        except (wire.BrokenMessage, OSError):
            pass
        finally:
            self._writers.discard(writer)
            wire.abort(writer)

    def _notices(self, run):
        """Fields of an answer in which the server speaks of itself."""
        ledger, out = self.world.ledger, {}
        if self.limit is not None:
            out["Server-Limit"] = f"{self.limit:.2f}"
            ledger.limit_stated(self, run)
        if self.left_at is not None:
            out["Server-Leaving"] = "1"
            ledger.leaving_stated(self, run)
        return out

    def _fields(self, run):
        run.stamp = f"{self.id}.{self.runs}"
        return {"Attempt-Id": run.attempt, "Server-Stamp": run.stamp, **self._notices(run)}

    async def _handle(self, request, reader, writer):
        if request.fields.get("expect-instance") != self.id:
            attempt = request.fields.get("attempt-id", "")
            writer.write(wire.response(421, {"Not-Executed": "1", "Attempt-Id": attempt}))
            await writer.drain()
            return True
        run = self.world.ledger.arrived(request, self)
        if self.running >= SLOTS or self.pause_next > 0 or self.rng.random() < 0.01:
            fields = {"Not-Executed": "1", "Attempt-Id": run.attempt, **self._notices(run)}
            if self.pause_next > 0:
                self.pause_next -= 1
                fields["Retry-After"] = f"{self.pause:.2f}"
                self.world.ledger.pause_stated(self, run)
            writer.write(wire.response(503, fields))
            await writer.drain()
            return True
        self.running += 1
        self.runs += 1
        run.began = self.world.now()
        try:
            if request.target.split("/")[1].startswith(("draft", "talk")):
                whole = await self._stream(request, run, reader, writer)
            else:
                whole = await self._plain(request, run, reader, writer)
        finally:
            self.running -= 1
            run.ended = self.world.now()
        return whole

    async def _work(self, seconds, run, reader, writer):
        """Works for a time; False if the channel closed meanwhile."""
        end = self.world.now() + seconds * self.slow
        gone_reported = False
        while self.frozen or self.world.now() < end:
            await asyncio.sleep(0.01)
            if not self.alive or reader.at_eof() or writer.transport.is_closing():
                return False
            attempt = self.world.ledger.attempts.get(run.attempt)
            if attempt and attempt.end == "left" and not gone_reported:
                gone_reported = self.world.ledger.still_working(run, attempt.ended)
        return True

    async def _plain(self, request, run, reader, writer):
        if not await self._work(0.02 + 0.06 * self.rng.random(), run, reader, writer):
            return False
        run.spoiled = self.spoils > 0 and self.rng.random() < self.spoils
        run.status = 500 if run.spoiled or self.rng.random() < 0.01 else 200
        run.spoiled = run.spoiled or self.slow > 1
        run.body = f"{self.id} {self.runs} {run.attempt} {request.target} ".encode() * 20
        fields = self._fields(run)
        answer = wire.response(run.status, fields, run.body)
        if self.cut_next > 0:
            self.cut_next -= 1
            run.broken = True
            writer.write(answer[:len(answer) - 50])
            await writer.drain()
            return False
        writer.write(answer)
        if self.extra_next > 0:
            # A second answer that arrives where the next one is expected.
            self.extra_next -= 1
            await asyncio.sleep(0.05)
            writer.write(answer)
        await writer.drain()
        return True

    def _silence_in(self, run):
        """Seconds of silence within a stream."""
        attempt = self.world.ledger.attempts.get(run.attempt)
        if attempt is not None and attempt.silence:
            return attempt.silence
        return self.rng.uniform(*self.silence) if self.silence is not None else 0.0

    async def _stream(self, request, run, reader, writer):
        size = int(request.target.rsplit("/", 1)[1])
        first = int(request.fields.get("last-event-id", "0")) + 1
        if not await self._work(0.05, run, reader, writer):
            return False
        if self.spoils > 0 and self.rng.random() < self.spoils:
            run.status, run.spoiled = 500, True
            writer.write(wire.response(500, self._fields(run)))
            await writer.drain()
            return True
        run.status, run.spoiled = 200, self.slow > 1
        fields = {**self._fields(run), "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        writer.write(wire.head("HTTP/1.1 200 OK", fields))
        silence = self._silence_in(run)
        for n in range(first, size + 1):
            event = f"id: {n}\ndata: {run.attempt}:{run.stamp}:{n}/{size}\n\n".encode()
            if self.cut_next > 0 and n > first + 2:
                self.cut_next -= 1
                run.broken = True
                writer.write(wire.chunk(event[:9]))
                await writer.drain()
                return False
            writer.write(wire.chunk(event))
            await writer.drain()
            pause = EVENT_GAP
            if silence:
                pause, silence = silence, 0.0
                self.world.ledger.count("preempted")
            if not await self._work(pause, run, reader, writer):
                run.broken = run.broken or not self.alive
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


@dataclass(eq=False)
class Slot:
    """A place for backend servers, with one address for all that run there in turn."""
    link: Link
    zone: str
    server: Server
