"""Shared by the scripts of this review: starts real nodes as the deploy file does, with the project's own
stand-in of the store, and small stand-ins of engines, requesters and the platform.

A case is an async function `case(world)` that returns True if the rule held. Use:
    stand.main(case, pathlib.Path(__file__).parent)
Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/lib"))

from soak import wire  # noqa: E402
from soak.link import Link  # noqa: E402
from soak.store import Store  # noqa: E402

PROGRAM = ROOT / "target/packages/daemon/chervilcoursed"
TEMPLATE = ROOT / "deploy/node.ini.template"
HOST = "h.example"
KEY = "key-of-tenant"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The figures of the sheets.
GRACE, LEASE_MS, WINDOW, CONTACT, RECOVER = 8, 3000, 5, 3.0, 12.0
MEMORY_MB = 260
HEARTBEAT = 1.2


class CannotRun(Exception):
    pass


class TappedLink(Link):
    """A link whose `tap`, if set, sees the bytes towards the target, and may hold them back, before they pass."""

    tap = None

    async def _pump(self, reader, writer, direction):
        await super()._pump(Tap(self, reader) if direction == "silent_up" else reader, writer, direction)


class Tap:
    def __init__(self, link, reader):
        self.link, self.reader = link, reader

    async def read(self, n):
        data = await self.reader.read(n)
        if data and self.link.tap is not None:
            await self.link.tap(data)
        return data


_held = []


def free_port():
    """A free port below those that the system takes for outgoing connections; each is given out once."""
    while True:
        port = random.randrange(10000, 30000)
        if port in _held:
            continue
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        _held.append(port)
        return port


class World:
    def __init__(self, folder):
        self.folder = folder
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.begin = time.monotonic()
        self.lines = []
        self.nodes, self.engines = [], []
        self.store = Store(self)
        self.duties = Duties(self)
        self.closing = False

    def now(self):
        return time.monotonic() - self.begin

    def wall(self):
        return time.time()

    def log(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def configure(self, routes, services, version=1, **limits):
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "tenants": [{"name": "tenant", "api-keys": [KEY]}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 20000, **limits}})
        self.log(f"operator: version {version}")

    async def start_nodes(self, zones):
        """One node for each zone named."""
        self.duty_port = await self.duties.listen()
        for i, zone in enumerate(zones):
            self.nodes.append(Node(self, f"edge-{zone}-{i + 1}", zone))
        for it in self.nodes:
            await it.prepare()
        for it in self.nodes:
            await it.start()
        end = self.now() + 15
        for it in self.nodes:
            while not await it.is_ready():
                if self.now() > end:
                    raise CannotRun(f"{it.name} does not become ready")
                await asyncio.sleep(0.1)
        # In touch: everything ran without disturbance for contact-ms.
        await asyncio.sleep(CONTACT + 0.5)

    async def stop(self):
        self.closing = True
        for it in self.nodes:
            it.signal(signal.SIGKILL)
        for it in self.nodes:
            if it.process is not None:
                await it.process.wait()


class Node:
    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.process = None
        self.peer, self.front, self.ready, self.entry, self.admin = [free_port() for _ in range(5)]

    async def prepare(self):
        # Links to the store and to the platform's duties, which a case may harm.
        self.store_link = await Link.start(await self.world.store.listen(self.name))
        self.duty_link = await TappedLink.start(self.world.duty_port)

    def settings(self):
        values = {
            "node-name": self.name, "region": "r", "zone": self.zone, "ip": "127.0.0.1",
            "port-range.0": self.admin, "listeners-map.control-plane": f"127.0.0.1:{self.peer}",
            "listeners-map.frontend": f"127.0.0.1:{self.front}",
            "listeners-map.ready": f"127.0.0.1:{self.ready}",
            "listeners-map.directory-service": f"127.0.0.1:{self.entry}",
            "seed-nodes": ",".join(f"127.0.0.1:{it.peer}" for it in self.world.nodes[:3]),
            "platform.address": f"127.0.0.1:{self.store_link.port}",
            "cloud-api.address": f"127.0.0.1:{self.duty_link.port}",
            "bounds.grace-s": GRACE, "bounds.lease-ms": LEASE_MS, "bounds.usage-window-s": WINDOW,
            "bounds.retry-slack": 54, "bounds.retry-window-s": 10}
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m.group(1)]), TEMPLATE.read_text())

    async def start(self):
        path = self.world.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        keep = os.environ.get("REVIEW_LOGS")
        out = (pathlib.Path(keep) / f"{self.name}.log" if keep else self.world.directory / f"{self.name}.log").open("a")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
            env={"PATH": os.environ["PATH"], "CHERVILCOURSE_SETTINGS": str(path)})
        out.close()
        self.world.log(f"{self.name}: started, process {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.log(f"{self.name}: {signal.Signals(number).name}")

    def resident_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(wire.request("GET", "/readyz", {"Host": "x"}))
            answer = await asyncio.wait_for(wire.read_message(reader), 1.0)
            wire.abort(writer)
            return answer is not None and answer.status == 200
        except (OSError, wire.BrokenMessage, asyncio.TimeoutError):
            return False


class Duties:
    """The platform's cloud API: takes usage reports and orders, and notes who sent them."""

    def __init__(self, world):
        self.world = world
        # (time, path, subject, holder, fence, body)
        self.calls = []
        # Answers an order; 409 if no such engine is to be had.
        self.status_of = lambda path, body: 200
        self.changed = asyncio.Event()

    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                body = json.loads(r.body)
                subject = "windows" if r.target == "/usage" else f"{body['service']} {body['zone']}"
                call = (self.world.now(), r.target, subject, r.fields["duty-holder"],
                        int(r.fields["fencing-token"]), body)
                self.calls.append(call)
                self.world.log(f"platform: {call[1]} {subject} from {call[3]}, fence {call[4]}: {json.dumps(body)}")
                self.changed.set()
                self.changed = asyncio.Event()
                writer.write(wire.response(self.status_of(r.target, body), {"Content-Type": "application/json"}, b"{}"))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)


class Engine:
    """A sound engine: registers itself, beats, answers what it is asked. `work` answers one request."""

    def __init__(self, world, id, service, zone, slots, work):
        self.world, self.id, self.service, self.zone, self.slots = world, id, service, zone, slots
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reaches_store = True
        self.last_beat = 0.0
        self.arrivals = 0
        # Attempts that reached it whole.
        self.seen = set()
        self.port = free_port()
        world.engines.append(self)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.beat()
        self._beating = asyncio.create_task(self._beats())

    def beat(self):
        self.sequence += 1
        self.last_beat = self.world.now()
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "1", "slots": self.slots, "state": "ready", "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def _beats(self):
        while not self.world.closing:
            await asyncio.sleep(HEARTBEAT)
            if self.reaches_store:
                if f"servers/{self.id}" not in self.world.store.items:
                    self.world.log(f"store: the entry of {self.id} is back, ready, the same start")
                self.beat()

    async def _serve(self, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                if r.fields.get("expect-instance") != self.id:
                    writer.write(wire.response(421, {"Not-Executed": "1", "Attempt-Id": r.fields.get("attempt-id", "")}))
                    continue
                self.arrivals += 1
                r.run = self.arrivals
                self.seen.add(r.fields.get("attempt-id"))
                self.world.log(f"{self.id}: {r.fields.get('attempt-id')} arrives"
                               + (f", goes on after event {r.fields['last-event-id']}" if "last-event-id" in r.fields else ""))
                await self.work(self, r, writer)
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)

    def fields(self, r):
        return {"Attempt-Id": r.fields["attempt-id"], "Server-Stamp": f"{self.id}.{r.run}"}


class Requester:
    """A requester that keeps one channel to one node."""

    def __init__(self, world, node, receive_buffer=None):
        self.world, self.node, self.receive_buffer = world, node, receive_buffer
        self.channel = None
        # Attempts whose channel was closed without a whole answer.
        self.closed = set()

    async def connect(self):
        it = socket.socket()
        if self.receive_buffer:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        it.setblocking(False)
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(it, ("127.0.0.1", self.node.front)), 1.0)
        self.channel = await asyncio.open_connection(sock=it, limit=1 << 20)

    async def send(self, method, path, deadline_ms, body=b"", **more):
        if self.channel is None:
            await self.connect()
        attempt = uuid.uuid4().hex[:16]
        self.channel[1].write(wire.request(method, path, {
            "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms, "X-Api-Key": KEY, **more}, body))
        self.world.log(f"requester: {attempt} {method} {path}, {len(body)} bytes, to {self.node.name}")
        return attempt

    def close(self):
        if self.channel is not None:
            wire.abort(self.channel[1])
            self.channel = None

    async def exchange(self, method, path, deadline_ms, body=b"", **more):
        """A plain request; gives the answer, or None if the channel ends without a whole one."""
        answer = attempt = None
        try:
            attempt = await self.send(method, path, deadline_ms, body, **more)
            answer = await asyncio.wait_for(wire.read_message(self.channel[0]), deadline_ms / 1000)
        except (OSError, wire.BrokenMessage, asyncio.TimeoutError) as e:
            self.world.log(f"requester: {attempt} has no answer: {type(e).__name__} {e}")
            if attempt is not None and not isinstance(e, asyncio.TimeoutError):
                self.closed.add(attempt)
            self.close()
            return None
        if answer is None:
            self.world.log(f"requester: {attempt}: the channel was closed without an answer")
            self.closed.add(attempt)
            self.close()
            return None
        self.world.log(f"requester: {attempt} gets {answer.status}, {len(answer.body)} bytes")
        if "close" in answer.fields.get("connection", ""):
            self.close()
        return answer


def route(prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {"name": prefix.strip("/"), "host": HOST, "path-prefix": prefix, "route-kind": kind,
            "service": service, "max-attempts": attempts, "timeout-ms": timeout_ms,
            "target-latency-ms": target_ms, "priority": 0, **more}


def main(case, folder):
    if not PROGRAM.exists():
        print(f"{PROGRAM} is not built")
        sys.exit(2)
    world = None
    # The nodes end, too, when the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def play():
        nonlocal world
        world = World(folder)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.stop()
    status = 2
    try:
        held = asyncio.run(play())
        status = 0 if held else 1
        world.log(f"result: the rule was {'kept' if held else 'BROKEN'} (TROUBLE={int(TROUBLE)})")
    except Exception as e:
        status = 2
        if world is not None:
            world.log(f"result: the case could not run: {type(e).__name__} {e}")
    if world is not None:
        (folder / "record.txt").write_text("\n".join(world.lines) + "\n")
        shutil.rmtree(world.directory, ignore_errors=True)
        with contextlib.suppress(OSError):
            print(world.lines[-1], flush=True)
    os._exit(status)
