"""A node on the users' platform, with backend servers and a store that send broken answers. Use:
    async with Stand(program) as stand:
        reply, id = await stand.exchange("/once/", case)
"""

import json

from clients import stand as clients
from soak import wire

from .cases import Answer
from .reply import exchange
from .servers import Servers
from .store import BrokenStore

STREAMS = ("/resumed/", "/stream/")
SERVERS = ("i-1", "i-2")
MEMORY_MB, DESCRIPTORS = 512, 1000
# Larger than what the sockets between a node and a server that does not read can hold.
LONG_BODY = 3 << 20
EVENTS = 3
# Seconds; longer than the time-out of any route.
PATIENCE = 10.0
# These statuses tell a client that its request has not run.
NOT_RUN = (408, 421, 429, 503)


def stamp(id, server):
    return f"{server}.{id}"


def sound(prefix, id, server):
    fields = [("Attempt-Id", id), ("Server-Stamp", stamp(id, server))]
    if prefix not in STREAMS:
        return Answer(fields, f"done {id}\n".encode() * 20)
    events = [f"id: {n}\ndata: {id}:{n}\n\n" for n in range(1, EVENTS + 1)]
    return Answer(fields + [("Content-Type", "text/event-stream")], "".join(events).encode())


class Stand(clients.Stand):
    # Prefixes of the routes, and whether the node may send their requests to another server.
    routes = {"/safe/": True, "/once/": False, "/resumed/": True, "/stream/": False}
    # An answer that ends early is kept until its server has read the request.
    keeps_early_answers = True
    plays_variants = True
    at_a_time = 4

    def __init__(self, program):
        super().__init__(program, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS)
        self.store = BrokenStore(self)
        self.servers = Servers("attempt-id", sound)

    async def exchange(self, prefix, case):
        """Sends a request whose first arrival at a server is answered as `case` says. Returns the
        reply and the id of the request."""
        fields = self.fields(Connection="close")
        id = fields["Attempt-Id"]
        self.servers.cases[id], self.servers.arrivals[id] = case, []
        body = b"x" * (LONG_BODY if case.is_early else 1000)
        request = wire.request("POST", prefix + id, fields, body)
        return await exchange(self.front, request, PATIENCE), id

    def is_marked(self, reply, prefix, id):
        """True if the reply bears the mark of a server that the request has reached."""
        mark = reply.fields.get("server-stamp")
        return mark in [stamp(id, it) for it in self.servers.arrivals[id]]

    def says_not_run(self, reply):
        return reply.status in NOT_RUN

    # Stand-ins.

    def configure(self, version, prefixes=()):
        """Writes a configuration with the usual routes and safe ones for `prefixes`."""
        def route(prefix, kind, **more):
            return {"name": prefix.strip("/"), "host": clients.HOST, "path-prefix": prefix,
                    "route-kind": kind, "service": "app", "max-attempts": 3, "timeout-ms": 8000,
                    "target-latency-ms": 4000, "gap-target-ms": 500, "priority": 0, **more}
        self.store.put("op/config", {
            "version": version,
            "routes": [route(it, "safe") for it in ("/short/", "/safe/", *prefixes)]
                      + [route("/once/", "unsafe"), route("/stream/", "streaming"),
                         route("/resumed/", "streaming", **{"stream-resume": True})],
            "services": [{"name": "app", "max-connections": 400}],
            "tenants": [{"name": "w", "api-keys": [clients.KEY]}],
            "limits": {"max-header-bytes": clients.MAX_HEAD, "max-body-bytes": clients.MAX_BODY,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})

    def _configure(self):
        self.configure(1)

    def log(self):
        """The lines that the node has written."""
        return [json.loads(it) for it in (self.directory / "node.log").read_text().splitlines()
                if it.startswith("{")]

    async def _start_backend(self):
        first, self.other = [await self.servers.listen(it) for it in SERVERS]
        return first

    async def __aexit__(self, *error):
        self.other.close()
        await super().__aexit__(*error)

    async def _heartbeats(self, port):
        ports = [port, self.other.sockets[0].getsockname()[1]]
        for sequence in range(1, 1 << 30):
            for server, it in zip(SERVERS, ports):
                self.store.put(f"servers/{server}", {
                    "service": "app", "address": f"127.0.0.1:{it}", "zone": "z", "version": "1",
                    "slots": 200, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
                    "born": 1})
            await asyncio.sleep(1.2)
