"""Nodes of an example deployment, with an application service that sends broken answers."""

import asyncio
import uuid

import fleet
from soak import wire

from .cases import Answer
from .reply import exchange
from .servers import Servers

# Apart from the ports of tools/chaos, tools/demo and tools/bench.
PORT_OFFSET = -5000
NODES, SERVERS = 2, 2
SERVICE, KEY = "acordos", "demo-sul-banco-floripa"
LONG_BODY = 512 << 10
ATTEMPTS, PAUSE = 40, 0.25
# Seconds. The contract's time-out bounds one attempt, not the wait for the next.
PATIENCE = 120.0


def sound(prefix, id, server):
    return Answer([("Content-Type", "text/plain")], f"done {id}\n".encode() * 20)


class Fleet(fleet.Fleet):
    def __init__(self):
        super().__init__("sul", nodes=NODES, engines=0, link=False, port_offset=PORT_OFFSET)
        self.topology["services"] = self.topology["services"][:SERVERS]

    def start_service(self, it):
        """The service is not a process."""


class WorkspaceStand:
    # As in Stand; the contract says which calls may be repeated.
    routes = {"/balance/": True, "/agreements/": False}
    keeps_early_answers = False
    plays_variants = False
    # More at a time wait longer for their repeats.
    at_a_time = 1

    def __init__(self, program):
        fleet.DAEMON = program
        self.fleet = Fleet()
        self.servers = Servers("idempotency-key", sound)

    async def __aenter__(self):
        await asyncio.to_thread(self.fleet.start)
        self.listeners = [await self.servers.listen(str(it["port"]), it["port"])
                          for it in self.fleet.topology["services"]]
        await asyncio.to_thread(self.fleet.wait_ready)
        self.front = int(self.fleet.callers()[0].rsplit(":", 1)[1])
        return self

    async def __aexit__(self, *_):
        for it in self.listeners:
            it.close()
        await asyncio.to_thread(self.fleet.stop)

    async def exchange(self, prefix, case):
        id = uuid.uuid4().hex
        self.servers.cases[id], self.servers.arrivals[id] = case, []
        fields = {"Host": "h", "Authorization": "Bearer " + KEY, "Idempotency-Key": id,
                  "Content-Type": "text/plain", "Connection": "close"}
        body = b"x" * (LONG_BODY if case is not None and case.is_early else 100)
        method = "GET" if self.routes[prefix] else "POST"
        request = wire.request(method, f"/v1/services/{SERVICE}{prefix}{id}", fields, body)
        return await exchange(self.front, request, PATIENCE), id

    async def ask_until_answered(self, path):
        for _ in range(ATTEMPTS):
            reply, _ = await self.exchange("/balance/", None)
            if reply.status == 200:
                break
            await asyncio.sleep(PAUSE)
        return reply.status

    def is_marked(self, reply, prefix, id):
        """Answers of services have no mark."""
        return reply.status == 200

    def says_not_run(self, reply):
        return reply.is_whole and b'"outcome":"not_run"' in reply.body.replace(b" ", b"")

    def alive(self):
        return all(self.fleet.is_running(it["name"]) for it in self.fleet.nodes)
