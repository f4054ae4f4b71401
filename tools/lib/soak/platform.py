"""The operator, who writes configurations, and the duties that the platform takes from one node."""

import asyncio
import json

from . import wire
from .caller import HOST, ROUTE_TIMEOUT, Caller
from .ledger import APPLY, CONTACT, TOLERANCE
from .load import MAX_BODY

WINDOW = 5
USAGE_LATE = 10
# A stream that is preempted at three servers takes longer than a plain answer may.
STREAM_TIME = {"timeout-ms": 10000}
USAGE_ERROR = 0.05
QUOTA = {"limited": (20.0, 10.0)}


class Duties:
    """Accepts usage reports. Modes as those of the store."""

    def __init__(self, world):
        self.world = world
        self.mode = "ok"

    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                if self.mode == "silent":
                    await asyncio.sleep(10)
                    break
                if self.mode == "down":
                    writer.write(wire.response(503, {}))
                    continue
                if r.target == "/usage":
                    body = json.loads(r.body)
                    self.world.ledger.usage_posted(r.fields["duty-holder"],
                                                   int(r.fields["fencing-token"]),
                                                   body["window-id"], body["counts"])
                if self.mode == "lose":
                    await asyncio.sleep(10)
                    break
                writer.write(wire.response(200, {}))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)


class Operator:
    """Writes a new version every few seconds: one more probe route, one less, and another key."""

    def __init__(self, world, rng):
        self.world, self.rng = world, rng
        self.version = 0
        self.probes = []
        self.writable = True

    def document(self):
        def route(prefix, kind, service, **more):
            return {"name": prefix.strip("/"), "host": HOST, "path-prefix": prefix,
                    "route-kind": kind, "service": service, "max-attempts": 3,
                    "timeout-ms": int(ROUTE_TIMEOUT * 1000), "target-latency-ms": 400,
                    "gap-target-ms": 300, **more}
        routes = [route("/app/", "safe", "app"), route("/book/", "unsafe", "app"),
                  route("/draft/", "streaming", "model", **{"stream-resume": True, **STREAM_TIME}),
                  route("/talk/", "streaming", "model", **STREAM_TIME)]
        routes += [route(f"/probe{v}/", "safe", "app") for v in self.probes]
        rate, burst = QUOTA["limited"]
        return {"version": self.version, "routes": routes,
                "services": [{"name": "app", "max-connections": 64},
                             {"name": "model", "max-connections": 64}],
                "tenants": [{"name": "plain", "api-keys": [self.world.keys["plain"]]},
                            {"name": "limited", "api-keys": [self.world.keys["limited"]],
                             "rate-per-s": rate, "burst": burst, "uncached-tokens": 1}],
                "limits": {"max-header-bytes": 8192, "max-body-bytes": MAX_BODY,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 20000}}

    def write(self):
        self.version += self.rng.randrange(1, 4)
        self.probes = (self.probes + [self.version])[-2:]
        services = self.world.ledger.services_of
        services.update({"/app/": {"app"}, "/book/": {"app"}, "/draft/": {"model"},
                         "/talk/": {"model"}, f"/probe{self.version}/": {"app"}})
        self.world.store.put("op/config", self.document())
        self.world.log(f"operator: version {self.version}")

    async def run(self):
        while not self.world.ending:
            await asyncio.sleep(2 + 4 * self.rng.random())
            while self.world.store.mode != "ok" and not self.world.ending:
                await asyncio.sleep(0.1)
            dropped = self.probes[0] if len(self.probes) == 2 else None
            self.write()
            version, confirmed = self.version, self.world.now()
            await asyncio.sleep(APPLY + TOLERANCE)
            if version == self.version:
                await asyncio.gather(*[self._probe(it, version, dropped, confirmed)
                                       for it in self.world.nodes])

    async def _probe(self, node, version, dropped, confirmed):
        """CONFIG: the new route is served and the dropped one is not, by nodes in touch."""
        for path, expected in ((f"/probe{version}/1", True), (f"/probe{dropped}/1", False)):
            if "None" in path:
                continue
            prober = Caller(self.world, self.rng)
            prober.addresses, prober.until = [node.address], float("inf")
            channel = await prober._channel_to(set())
            if channel is None:
                continue
            attempt, _ = await prober.attempt("safe", path, b"", channel, 2.0, proper=False)
            prober.close()
            found = attempt.status not in (0, 404)
            in_touch = self.world.ledger.in_touch(node.name, confirmed - CONTACT)
            if attempt.status and found != expected and in_touch:
                self.world.ledger.violate("CONFIG", f"{node.name}: {path} gave {attempt.status} "
                                                    f"{APPLY} s after version {version}")


def check_usage(world, since):
    """Each window in which nothing was disturbed is reported, in time and right. The truth lies
    between the requests whose first byte callers saw and all runs."""
    ledger, wall_offset = world.ledger, world.wall() - world.now()
    checked = 0
    for window in range(int((since + wall_offset) // WINDOW) + 1, int(world.wall() // WINDOW)):
        begin = window * WINDOW - wall_offset
        due = begin + WINDOW + USAGE_LATE
        subjects = ["store", "duty"] + [("node", it.name) for it in world.nodes]
        if due > world.now() or not ledger.is_calm(begin - CONTACT, due, *subjects):
            continue
        checked += 1
        counts = ledger.usage.get(window)
        if counts is None:
            ledger.violate("DUTY", f"window {window} was not reported")
            continue
        for tenant in ("plain", "limited"):
            runs = [r for r in ledger.runs if r.tenant == tenant]
            # Answers reach the node a moment after the run has begun.
            low = sum(1 for r in runs if begin + 0.1 <= r.began and r.ended and r.status == 200
                      and r.ended < begin + WINDOW - 0.1 and not r.broken)
            high = sum(1 for r in runs if r.began and begin - 3 <= r.began < begin + WINDOW + 0.1
                       and (r.began >= begin - 0.1 or r.ended >= begin))
            n = counts.get(tenant, 0)
            if not low * (1 - USAGE_ERROR) - 2 <= n <= high * (1 + USAGE_ERROR) + 2:
                ledger.violate("DUTY", f"window {window}: {n} of {tenant}, truth {low}..{high}")
    return checked
