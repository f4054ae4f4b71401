"""One node as a process, with stand-ins of the platform's store and of a backend server.

The settings of the tests are fixed: MEMORY_MB and DESCRIPTORS are far below those of a VM, so that
a small number of clients is enough. Use:
    async with Stand(program) as stand:
        status = await stand.ask("/short/x")
"""

import asyncio
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time
import uuid

from soak import wire
from soak.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST, KEY = "h.example", "key-of-workspace"
MEMORY_MB, DESCRIPTORS = 80, 300
MAX_BODY, MAX_HEAD = 4 << 20, 16 << 10
LONG_ANSWER = 1_900_000
# Source address of the clients outside the limits; ordinary ones use 127.0.0.1.
CROWD_ADDRESS = "127.0.0.2"
START_TIMEOUT = 20.0
# A refused ordinary request is repeated as often as this before it counts as not answered.
ATTEMPTS, PAUSE = 40, 0.5


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Clients:
    """What clients of a node need: its ports, and what they send."""

    def __init__(self, ports):
        self.peer, self.front, self.ready, self.entry, self.admin = self.ports = ports

    async def ask(self, path, body=b"", chunks=None, timeout=10.0):
        """Status of one ordinary request on a connection of its own; 0 if there is no answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.front, limit=1 << 20), timeout)
            if chunks is None:
                writer.write(wire.request("POST", path, self.fields(), body))
            else:
                writer.write(self.head(path))
                writer.write(chunks + b"0\r\n\r\n")
            answer = await asyncio.wait_for(wire.read_message(reader), timeout)
            return answer.status if answer is not None else 0
        except (OSError, wire.BrokenMessage, asyncio.TimeoutError):
            return 0
        finally:
            if writer is not None:
                wire.abort(writer)

    def fields(self, **more):
        return {"Host": HOST, "Attempt-Id": uuid.uuid4().hex[:16], "Deadline-Ms": 8000,
                "X-Api-Key": KEY, **more}

    def head(self, path, **more):
        """Head of a request with a chunked body, or with the fields given instead."""
        return wire.head(f"POST {path} HTTP/1.1",
                         self.fields(**(more or {"Transfer-Encoding": "chunked"})))

    async def connect(self, receive_buffer=None, port=None, address=CROWD_ADDRESS):
        """A connection of a client outside the limits, to the callers' listener unless `port` says."""
        it = socket.socket()
        it.setblocking(False)
        if receive_buffer:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        it.bind((address, 0))
        try:
            await asyncio.get_running_loop().sock_connect(it, ("127.0.0.1", port or self.front))
        except BaseException:
            it.close()
            raise
        return await asyncio.open_connection(sock=it, limit=1 << 16)


class Stand(Clients):
    def __init__(self, program, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        super().__init__([free_port() for _ in range(5)])
        self.program = program
        self.limits = {"edge.memory_mb": memory_mb, "edge.max_descriptors": descriptors}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="chervil-clients-"))
        self.begin = time.monotonic()
        self.store = Store(self)
        self.process = None
        self.most_descriptors = 0
        self.served = 0
        self.tasks = []

    def now(self):
        return time.monotonic() - self.begin

    async def __aenter__(self):
        self.backend = backend = await self._start_backend()
        self._configure()
        self.tasks.append(asyncio.create_task(self._heartbeats(backend.sockets[0].getsockname()[1])))
        store = await self.store.listen("node")
        settings = self.directory / "node.ini"
        settings.write_text(self._settings(store))
        with (self.directory / "node.log").open("w") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self.program), "--settings", str(settings),
                *[word for it in self.limits.items() for word in ("--set", "%s=%d" % it)],
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.tasks.append(asyncio.create_task(self._measure()))
        end = self.now() + START_TIMEOUT
        while await self.ask("/short/x") != 200:
            if self.now() > end or self.process.returncode is not None:
                raise RuntimeError("the node does not serve: " + str(self.directory))
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_):
        for it in self.tasks:
            it.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.backend.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    # What is checked.

    def alive(self):
        return self.process.returncode is None

    def peak_mb(self):
        """Peak of resident memory in MB (10^6 bytes)."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", text).group(1)) * 1024 / 1e6

    def descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def ask_until_answered(self, path, body=b"x" * 1000):
        """The same, repeated while the request is refused; the status of the last one."""
        for _ in range(ATTEMPTS):
            if (status := await self.ask(path, body)) == 200 or not self.alive():
                return status
            await asyncio.sleep(PAUSE)
        return status

    # Stand-ins.

    async def _start_backend(self):
        return await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=4096)

    def _settings(self, store):
        values = {
            "node-name": "n1", "region": "r", "zone": "z", "ip": "127.0.0.1",
            "port-range.0": self.admin, "listeners-map.control-plane": f"127.0.0.1:{self.peer}",
            "listeners-map.frontend": f"127.0.0.1:{self.front}",
            "listeners-map.ready": f"127.0.0.1:{self.ready}",
            "listeners-map.directory-service": f"127.0.0.1:{self.entry}",
            "seed-nodes": f"127.0.0.1:{self.peer}", "platform.address": f"127.0.0.1:{store}",
            # Nothing listens there: neither usage nor orders matter here.
            "cloud-api.address": "127.0.0.1:9", "bounds.grace-s": 8, "bounds.lease-ms": 3000,
            "bounds.usage-window-s": 5, "bounds.retry-slack": 50, "bounds.retry-window-s": 10}
        text = (ROOT / "deploy/node.ini.template").read_text()
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m.group(1)]), text)

    def _configure(self):
        def route(prefix):
            return {"name": prefix, "host": HOST, "path-prefix": f"/{prefix}/", "route-kind": "unsafe",
                    "service": "app", "max-attempts": 1, "timeout-ms": 8000,
                    "target-latency-ms": 4000, "priority": 0}
        self.store.put("op/config", {
            "version": 1, "routes": [route("short"), route("long")],
            "services": [{"name": "app", "max-connections": 400}],
            "tenants": [{"name": "w", "api-keys": [KEY]}],
            "limits": {"max-header-bytes": MAX_HEAD, "max-body-bytes": MAX_BODY,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    async def _heartbeats(self, port):
        for sequence in range(1, 1 << 30):
            self.store.put("servers/i-1", {
                "service": "app", "address": f"127.0.0.1:{port}", "zone": "z", "version": "1",
                "slots": 200, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
                "born": 1})
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                self.served += 1
                body = b"x" * LONG_ANSWER if r.target.startswith("/long/") else b"done"
                writer.write(wire.response(200, {"Attempt-Id": r.fields["attempt-id"],
                                                 "Server-Stamp": f"i-1.{self.served}"}, body))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)

    async def _measure(self):
        while self.alive():
            try:
                self.most_descriptors = max(self.most_descriptors, self.descriptors())
            except OSError:
                return
            await asyncio.sleep(0.02)
