"""A small deployment on loopback addresses: real nodes, started with the commands of the deploy file,
between a stand-in of the platform's store, one of its API, engines and requesters.

The store, the reading of HTTP messages and the proxy are the project's own stand-ins (tools/lib/soak).

Use:
    async def main(stand):
        ...
        return broken            # True if the rule was broken
    run(main, __file__)
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
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "lib"))
from soak import link as soak_link  # noqa: E402
from soak import store as soak_store  # noqa: E402
from soak import wire  # noqa: E402

HOST = "ficu95.example"
HEARTBEAT = 1.2
# An entry is removed after three reports of silence.
LAPSE = 3 * HEARTBEAT
# Bounds as in the example of DEPLOY.md.
CONTACT = 3.0
CONFIG_APPLY = 2.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


_given = set()


def free_port(ip):
    """A port that nobody listens on, below those that the system gives to outgoing channels."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                s.bind((ip, port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port


class Stand:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="chervil-case-"))
        self.began = time.monotonic()
        self.lines = []
        self.nodes = []
        self.engines = []
        self.duty_calls = []
        self.store = soak_store.Store(self)
        self.version = 0
        self.tasks = []
        # Placeholders of the deploy file with other values than those of DEPLOY.md's example.
        self.bounds = {}

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    async def prepare(self, nodes=2, zones=("a", "b"), proxied=False):
        """Starts the platform and the nodes; the configuration has to be written before traffic."""
        server = await asyncio.start_server(self._serve_duty, "127.0.0.1", 0)
        self.duty_port = server.sockets[0].getsockname()[1]
        self.tasks.append(asyncio.create_task(self._expire()))
        for i in range(nodes):
            self.nodes.append(Node(self, f"edge-{zones[i % len(zones)]}-{i + 1}",
                                   zones[i % len(zones)], f"127.0.1.{10 + i}"))
        for node in self.nodes:
            await node.prepare(proxied)
            if node.peer_link is not None:
                node.peer_link.names = [it.name for it in self.nodes]
        for node in self.nodes:
            await node.start()

    async def ready(self, limit=15.0):
        end = self.now() + limit
        for node in self.nodes:
            while not await node.is_ready():
                if self.now() > end:
                    raise RuntimeError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.log("all nodes are ready")

    async def _expire(self):
        """Leases end also while nobody calls; entries of silent engines are removed."""
        while True:
            await asyncio.sleep(0.1)
            self.store.expire_leases()
            self.store.keep_copy()

    async def _serve_duty(self, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                self.duty_calls.append((self.now(), r.fields.get("duty-holder"),
                                        r.fields.get("fencing-token"), r.target,
                                        r.body.decode("latin-1")))
                writer.write(wire.response(200, {}))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)

    def write_config(self, routes, services, tenants, **limits):
        self.version += 7
        document = {"version": self.version, "routes": routes, "services": services,
                    "tenants": tenants,
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                               "header-timeout-ms": 3000, "idle-timeout-ms": 15000, **limits}}
        self.store.put("op/config", document)
        self.log(f"operator writes version {self.version}, which the store confirms")
        return self.now()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                shutil.copy(self.temporary / f"{node.name}.log", keep)
        shutil.rmtree(self.temporary, ignore_errors=True)

    def write_record(self, verdict):
        (self.folder / "record.txt").write_text("\n".join(self.lines + [verdict]) + "\n")


class PeerLink(soak_link.Link):
    """The project's proxy, towards a node's own loopback address. Tells from the first bytes of a
    channel, in which the connecting node names itself, whose it is."""

    silenced = frozenset()
    names = ()

    @classmethod
    async def start(cls, ip, target):
        link = cls(target)
        link.ip = ip
        server = await asyncio.start_server(link._serve, "127.0.0.1", 0)
        link.port = server.sockets[0].getsockname()[1]
        link._server = server
        return link

    async def _serve(self, reader, writer):
        try:
            out_reader, out_writer = await asyncio.open_connection(self.ip, self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, out_writer}
        source = [None]
        await asyncio.gather(self._pass(reader, out_writer, source, True),
                             self._pass(out_reader, writer, source, False))
        self._writers -= {writer, out_writer}

    async def _pass(self, reader, writer, source, is_up):
        try:
            while data := await reader.read(65536):
                if is_up and source[0] is None:
                    source[0] = next((it for it in self.names if it.encode() in data), "")
                while source[0] in self.silenced or self.silent_up:
                    await self._released.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    def silence(self, sources=None):
        """Holds back what nodes with these names, or all, send and get over this link."""
        if sources is None:
            self.silent_up = True
        else:
            self.silenced = frozenset(sources)

    def release(self):
        self.silenced = frozenset()
        super().release()


class Node:
    def __init__(self, stand, name, zone, ip):
        self.stand, self.name, self.zone, self.ip = stand, name, zone, ip
        self.process = None
        names = ("frontend", "ready", "control", "directory", "admin")
        self.ports = {it: free_port(ip) for it in names}

    async def prepare(self, proxied):
        """With `proxied` the other nodes reach this one through a proxy that can be silenced."""
        self.store_port = await self.stand.store.listen(self.name)
        self.peer_address = f"{self.ip}:{self.ports['control']}"
        self.peer_link = None
        if proxied:
            self.peer_link = await PeerLink.start(self.ip, self.ports["control"])
            self.peer_address = f"127.0.0.1:{self.peer_link.port}"

    def _values(self):
        listen = {"frontend": "frontend", "ready": "ready", "control-plane": "control",
                  "directory-service": "directory"}
        out = {"node-name": self.name, "zone": self.zone, "region": "r", "ip": self.ip,
               "port-range.0": self.ports["admin"],
               "seed-nodes": ",".join(it.peer_address for it in self.stand.nodes[:3]),
               "platform.address": f"127.0.0.1:{self.store_port}",
               "cloud-api.address": f"127.0.0.1:{self.stand.duty_port}",
               "limits.memory-mb": 260, "limits.max-fds": 4100,
               "bounds.grace-s": 8, "bounds.lease-ms": 3000, "bounds.usage-window-s": 5,
               "bounds.retry-slack": 58, "bounds.retry-window-s": 10,
               "bounds.exposure-share": "", "bounds.exposure-slack": "", "bounds.rollback-ms": "",
               **self.stand.bounds}
        out.update({f"listeners-map.{k}": f"{self.ip}:{self.ports[v]}" for k, v in listen.items()})
        return out

    def _fill(self, text):
        values = self._values()
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m.group(1)]), text)

    async def start(self):
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["node"]
        settings = self.stand.temporary / f"{self.name}.ini"
        text = self._fill((ROOT / role["template"]).read_text())
        if self.peer_link is not None:
            text = text.replace("[membership]",
                                f"peer_advertise = {self.peer_address}\n\n[membership]")
        settings.write_text(text)
        command = self._fill(role["run"]).split(" ")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CHERVILCOURSE_SETTINGS"] = str(settings)
        with (self.stand.temporary / f"{self.name}.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.stand.log(f"{self.name} starts, requesters at {self.ip}:{self.ports['frontend']}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
            writer.write(wire.request("GET", "/readyz", {"Host": "x"}))
            answer = await asyncio.wait_for(wire.read_message(reader), 1.0)
            wire.abort(writer)
            return answer is not None and answer.status == 200
        except (OSError, wire.BrokenMessage, asyncio.TimeoutError):
            return False


class Engine:
    """A sound engine. Subclasses answer requests in `work`."""

    def __init__(self, stand, service, zone="a", slots=64, version="v1"):
        self.stand, self.service, self.zone, self.slots = stand, service, zone, slots
        self.version = version
        self.id = self.new_id()
        self.port = free_port("127.0.0.1")
        self.reaches_store = True
        self.alive = False
        self.running = 0
        self.runs = 0
        self.sequence = 0
        self._writers = set()
        stand.engines.append(self)

    @staticmethod
    def new_id():
        return "i-" + uuid.uuid4().hex[:10]

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port,
                                                  limit=wire.MAX_HEAD)
        self.alive = True
        self.announce()
        self._beat = asyncio.create_task(self._heartbeat())
        self.stand.tasks.append(self._beat)
        self.stand.log(f"engine {self.id} of {self.service} starts at 127.0.0.1:{self.port}")

    def announce(self):
        self.sequence += 1
        self.stand.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": "ready", "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born})
        self.announced = self.stand.now()

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            if self.reaches_store:
                self.announce()

    def crash(self):
        """The process ends: its channels are reset, its entry lapses."""
        self.alive = False
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            wire.abort(writer)
        self.stand.log(f"engine {self.id} crashes")

    async def crash_and_return(self, after, same_id=False):
        old, lapses = self.id, self.announced + LAPSE
        self.crash()
        back = self.stand.now() + after
        if same_id:
            await asyncio.sleep(after)
            await self.start()
            return
        await asyncio.sleep(max(0.0, min(back, lapses) - self.stand.now()))
        if back > lapses:
            self.stand.store.remove(f"servers/{old}")
            await asyncio.sleep(max(0.0, back - self.stand.now()))
        self.id = self.new_id()
        await self.start()
        if back <= lapses:
            await asyncio.sleep(max(0.0, lapses - self.stand.now()))
            self.stand.store.remove(f"servers/{old}")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.alive:
                request = await wire.read_message(reader)
                if request is None:
                    break
                attempt = request.fields.get("attempt-id", "")
                if request.fields.get("expect-instance") not in (None, self.id):
                    writer.write(wire.response(421, {"Not-Executed": "1", "Attempt-Id": attempt,
                                                     "Instance-Id": self.id}))
                elif not await self.work(request, attempt, reader, writer):
                    break
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        finally:
            self._writers.discard(writer)
            wire.abort(writer)

    def fields(self, attempt):
        self.runs += 1
        return {"Attempt-Id": attempt, "Server-Stamp": f"{self.id}.{self.runs}"}

    async def work(self, request, attempt, reader, writer):
        """Answers one request; False closes the channel."""
        await asyncio.sleep(0.03)
        writer.write(wire.response(200, self.fields(attempt), b"done " + attempt.encode()))
        return True


class Requester:
    """Sends requests over a kept channel to one node."""

    def __init__(self, stand, node):
        self.stand, self.node = stand, node
        self.channel = None

    async def _open(self):
        if self.channel is None or self.channel[0].at_eof():
            self.close()
            self.channel = await asyncio.wait_for(asyncio.open_connection(
                self.node.ip, self.node.ports["frontend"], limit=wire.MAX_HEAD), 1.0)
        return self.channel

    def close(self):
        if self.channel is not None:
            wire.abort(self.channel[1])
            self.channel = None

    async def send(self, method, path, fields=(), body=b"", deadline=6.0, key=None, attempt=None):
        """Gives (status, body, fields); status 0 for a channel that ended, -1 at the time budget."""
        attempt = attempt or uuid.uuid4().hex[:16]
        head = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": int(deadline * 1000),
                **dict(fields)}
        if key is not None:
            head["X-Api-Key"] = key
        try:
            reader, writer = await self._open()
            writer.write(wire.request(method, path, head, body))
            answer = await asyncio.wait_for(wire.read_head(reader), deadline)
            if answer is None:
                self.close()
                return 0, b"", {}
            if wire.is_chunked(answer):
                while data := await asyncio.wait_for(wire.read_chunk(reader), deadline):
                    answer.body += data
            else:
                await asyncio.wait_for(wire.read_body(reader, answer), deadline)
        except asyncio.TimeoutError:
            self.close()
            return -1, b"", {}
        except (OSError, wire.BrokenMessage, asyncio.IncompleteReadError):
            self.close()
            return 0, b"", {}
        if "close" in answer.fields.get("connection", ""):
            self.close()
        return answer.status, answer.body, answer.fields


def route(prefix, kind, service, **more):
    return {"name": "r-" + prefix.strip("/"), "host": HOST, "path-prefix": prefix,
            "route-kind": kind, "service": service, "max-attempts": 2, "timeout-ms": 6000,
            "target-latency-ms": 800, "priority": 1, "anonymous": False, **more}


def service(name, **more):
    return {"name": name, "health-path": "/healthz", "max-connections": 360, "protocol": "h1",
            "tls": False, **more}


def run(main, script, limit=110.0):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    folder = pathlib.Path(script).resolve().parent

    async def whole():
        # Handlers of the stand-ins that are cancelled at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        stand = Stand(folder)
        try:
            broken = await asyncio.wait_for(main(stand), limit)
            verdict = "the rule was broken" if broken else "the rule held"
            code = 1 if broken else 0
        except Exception as e:  # the case itself failed
            verdict, code = f"the case could not run: {e!r}", 2
        finally:
            await stand.close()
        stand.log("TROUBLE=%d" % TROUBLE)
        stand.write_record(verdict)
        print(verdict)
        return code

    if not (ROOT / "target/packages/daemon/chervilcoursed").exists():
        print("the build of the deploy file is missing")
        sys.exit(2)
    code = asyncio.run(whole())
    sys.stdout.flush()
    os._exit(code)
