"""A small deployment on loopback addresses for the scripts of this review: nodes started with the
run line of deploy/system.toml and the template of deploy/, the project's stand-in of the store, a
platform API that accepts every call, engines and callers.

Use:
    async def case(d):
        await d.start(nodes=2, config=...)
        engine = await d.engine("e1", "model", handler)
        ...
        return broken          # True if the rule was broken
    deployment.main(case)
"""

import asyncio
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
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/lib"))

from soak import wire  # noqa: E402
from soak.store import Store  # noqa: E402

HOST = "case.example"
HEARTBEAT = 1.2
LONGEST = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As in the site files of small deployments.
BOUNDS = {"bounds.grace-s": "8", "bounds.lease-ms": "3000", "bounds.usage-window-s": "5",
          "bounds.retry-slack": "54", "bounds.retry-window-s": "10",
          "limits.memory-mb": "260", "limits.max-fds": "4100"}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


GIVEN = set()


def free_ports(n):
    """Free ports below those that the kernel gives to outgoing channels, each given once."""
    held = []
    while len(held) < n:
        port = random.SystemRandom().randrange(21_000, 32_000)
        it = socket.socket()
        try:
            if port in GIVEN:
                raise OSError("given to another node")
            it.bind(("127.0.0.1", port))
            held.append(it)
            GIVEN.add(port)
        except OSError:
            it.close()
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports


def fill(text, values):
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: values.get(m.group(1), ""), text)


class Node:
    def __init__(self, d, name, zone, ports):
        self.d, self.name, self.zone, self.process = d, name, zone, None
        (self.peer, self.caller, self.ready, self.entry, self.admin) = ports
        self.store_port = d.store_port
        self.duty_port = d.duty_port

    def values(self):
        return {**BOUNDS, **self.d.bounds, "node-name": self.name, "region": "r",
                "zone": self.zone, "ip": "127.0.0.1", "port-range.0": str(self.admin),
                "listeners-map.control-plane": f"127.0.0.1:{self.peer}",
                "listeners-map.frontend": f"127.0.0.1:{self.caller}",
                "listeners-map.ready": f"127.0.0.1:{self.ready}",
                "listeners-map.directory-service": f"127.0.0.1:{self.entry}",
                "seed-nodes": ",".join(f"127.0.0.1:{it.peer}" for it in self.d.nodes[:3]),
                "platform.address": f"127.0.0.1:{self.store_port}",
                "cloud-api.address": f"127.0.0.1:{self.duty_port}"}

    async def start(self):
        path = self.d.directory / f"{self.name}.ini"
        path.write_text(fill((ROOT / "deploy/node.ini.template").read_text(), self.values()))
        words = fill(self.d.run_line, self.values()).split()
        log = (self.d.directory / f"{self.name}.log").open("a")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / words[0]), *words[1:], stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CHERVILCOURSE_SETTINGS": str(path)})
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def answers_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(wire.request("GET", "/readyz", {"Host": HOST, "Connection": "close"}))
            answer = await asyncio.wait_for(wire.read_message(reader), 1.0)
            wire.abort(writer)
            return answer is not None and answer.status == 200
        except (OSError, wire.BrokenMessage, asyncio.TimeoutError):
            return False


class Engine:
    """An engine: registers itself, and hands each request to `handler(engine, request, reader,
    writer)`, which returns False to close the channel."""

    def __init__(self, d, id, service, zone, handler, slots):
        self.d, self.id, self.service, self.zone = d, id, service, zone
        self.handler, self.slots = handler, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port,
                                                 limit=wire.MAX_HEAD)
        self.port = self.server.sockets[0].getsockname()[1]
        self.announce()
        self.beat = asyncio.create_task(self._beats())

    def announce(self):
        self.sequence += 1
        self.d.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.announce()

    def stamp(self):
        self.runs += 1
        return f"{self.id}.{self.runs}"

    async def _serve(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                attempt = request.fields.get("attempt-id", "")
                if request.fields.get("expect-instance") not in (None, self.id):
                    writer.write(wire.response(421, {"Attempt-Id": attempt, "Not-Executed": "1",
                                                     "Instance-Id": self.id}))
                elif request.target == "/healthz":
                    writer.write(wire.response(200, {"Instance-Id": self.id}))
                elif not await self.handler(self, request, reader, writer):
                    break
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        finally:
            wire.abort(writer)


class Deployment:
    def __init__(self, folder):
        self.record_file = (folder / "record.txt").open("w")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.begin = time.monotonic()
        self.run_line = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"]
        self.nodes, self.engines, self.bounds, self.duty_calls = [], [], {}, []
        self.record(f"TROUBLE={'1' if TROUBLE else '0'}")

    def now(self):
        return time.monotonic() - self.begin

    def record(self, text):
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    async def prepare(self):
        self.store = Store(self)
        self.store_port = await self.store.listen("all")
        duties = await asyncio.start_server(self._duties, "127.0.0.1", 0)
        self.duty_port = duties.sockets[0].getsockname()[1]

    async def _duties(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                self.duty_calls.append((self.now(), request))
                writer.write(wire.response(200, {}))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)

    async def engine(self, id, service, handler, zone="a", slots=4, port=0):
        it = Engine(self, id, service, zone, handler, slots)
        await it.start(port)
        self.engines.append(it)
        return it

    def configure(self, document):
        self.store.put("op/config", document)
        self.record(f"operator: version {document['version']} is confirmed")

    async def start_nodes(self, zones):
        if not (ROOT / self.run_line.split()[0]).exists():
            raise CannotRun("the node has not been built")
        for i, zone in enumerate(zones):
            self.nodes.append(Node(self, f"edge-{zone}-{i + 1}", zone, free_ports(5)))
        for it in self.nodes:
            await it.start()
        end = self.now() + 15
        while not all([await it.answers_ready() for it in self.nodes]):
            if self.now() > end:
                raise CannotRun("the nodes are not ready")
            await asyncio.sleep(0.2)
        self.record(f"{len(self.nodes)} nodes are ready")

    async def close(self):
        for it in self.nodes:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.nodes:
            if it.process is not None:
                await it.process.wait()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(prefix, kind, service, **more):
    return {"name": prefix.strip("/"), "host": HOST, "path-prefix": prefix, "route-kind": kind,
            "service": service, "max-attempts": 1, "timeout-ms": 10000, "target-latency-ms": 500,
            "priority": 0, "anonymous": False, "session-affinity": False, "stream-resume": False,
            **more}


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


def main(case, folder):
    async def play():
        d = Deployment(pathlib.Path(folder))
        # Ends the nodes, too, when the script is told to stop.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await d.prepare()
            broken = await asyncio.wait_for(case(d), LONGEST)
            d.record("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as e:
            d.record(f"could not run: {e!r}")
            return 2
        finally:
            await d.close()
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

    status = asyncio.run(play())
    print(["held", "broken", "could not run"][status])
    sys.exit(status)
