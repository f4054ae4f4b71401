"""Rollouts: orders of the operator, servers of the target beside the old ones, and the verdicts.

A rollout holds all servers of its service: none of them starts or leaves for another reason.
The bounds are those of docs/design/rollouts-and-proofs.md, section 1.
"""

import asyncio
import base64
import json
import random

from .ledger import APPLY, TOLERANCE
from .link import Link
from .server import Server, Slot

SHARE, SLACK, ROLLBACK = 0.1, 50, 5.0
DURATION = 12
# The bound in time counts from this bad response on.
BAD_RESPONSES = 50
LAPSE = 3.6
SETTINGS = {"edge.exposure_share": SHARE, "edge.exposure_slack": SLACK,
            "edge.rollback_time": f"{ROLLBACK:g}s"}


def is_supported(program):
    """True if the node knows the settings of rollouts."""
    return b"exposure_share" in program.read_bytes()


class Rollout:
    """One order and what became of it."""

    def __init__(self, service, target, ordered):
        self.service, self.target, self.ordered = service, target, ordered
        self.kind, self.turned_bad = "good", None
        self.state, self.decided = "", None
        self.servers = []


class Rollouts:
    def __init__(self, world, faults, rng, first_port):
        self.world, self.faults, self.rng = world, faults, rng
        self.ledger = world.ledger
        self.next_port = first_port
        self.links = []
        self.versions = 1
        self.over = False

    async def run(self):
        while not self.over:
            await asyncio.sleep(1 + 2 * self.rng.random())
            if not self.over:
                await self._one(self.rng.choice(["app", "app", "model"]))

    async def _hold(self, service):
        """Waits until no fault is at a server of the service."""
        mine, held = [], self.faults.held
        while True:
            for slot in self.world.slots:
                if slot.server.service == service and slot not in held:
                    held.add(slot)
                    mine.append(slot)
            if all(it in mine for it in self.world.slots if it.server.service == service):
                return mine
            await asyncio.sleep(0.1)

    async def _one(self, service):
        old = await self._hold(service)
        while self.world.store.mode != "ok":
            await asyncio.sleep(0.1)
        self.versions += 1
        it = Rollout(service, str(self.versions), self.world.now())
        self._draw(it)
        key, status = f"op/rollout/{service}", f"status/rollout/{service}"
        self.world.store.put(key, {"service": service, "target": it.target,
                                   "duration-s": DURATION})
        since = self.world.store.revision
        self.world.log(f"rollout: {service} {it.target}, {it.kind}")
        await asyncio.sleep(self.rng.random())
        slots = [await self._start(it, slot.zone) for slot in old]
        turn = asyncio.create_task(self._turn_bad(it))
        while not it.state and self.world.now() < it.ordered + DURATION + TOLERANCE:
            await asyncio.sleep(0.02)
            self._read_status(it, status, since)
        self.world.log(f"rollout: {service} {it.target}: {it.state or 'no verdict'}")
        if it.state == "completed":
            turn.cancel()
            await self._complete(it, old, slots)
        else:
            if not it.state:
                self.world.store.remove(key)
            await self._withdraw(it, slots)
            turn.cancel()
        self.faults.held -= set(old)
        self._judge(it)

    def _draw(self, it):
        it.kind = self.rng.choice(["good", "good", "fails", "slow"])
        it.part = 0.3 + 0.7 * self.rng.random()
        # A slow stream still ends within the grace time of a planned stop.
        it.factor = 4 + (1 if it.service == "model" else 6) * self.rng.random()
        it.delay = self.rng.choice([0.0, 2 + 2 * self.rng.random()])

    async def _start(self, it, zone):
        if not self.links:
            self.links.append(await Link.start(self.next_port))
            self.next_port += 1
        link = self.links.pop(0)
        server = Server(self.world, self.world.new_id(), it.service, zone,
                        random.Random(self.rng.random()), it.target)
        it.servers.append(server)
        if it.delay == 0.0:
            self._spoil(it, server)
        await server.start(link)
        return Slot(link, zone, server)

    def _spoil(self, it, server):
        if it.kind == "fails":
            server.spoils = it.part
        elif it.kind == "slow":
            server.slow = it.factor
        if it.kind != "good" and it.turned_bad is None:
            it.turned_bad = self.world.now()

    async def _turn_bad(self, it):
        await asyncio.sleep(it.delay)
        for server in it.servers:
            self._spoil(it, server)

    def _read_status(self, it, key, since):
        item = self.world.store.items.get(key)
        if item is None or item["revision"] <= since:
            return
        value = json.loads(base64.b64decode(item["value"]))
        if value["target"] == it.target and value["state"] in ("completed", "reverted"):
            it.state, it.decided = value["state"], self.world.now()

    async def _complete(self, it, old, slots):
        """The old servers stop at once. That is no disturbance: nothing may be cut off by it."""
        for slot in old:
            if slot.server.running:
                self.ledger.violate("ROLLOUT", f"{it.service} {it.target} is completed while "
                                               f"{slot.server.running} requests run at "
                                               f"{slot.server.id}")
            slot.server.stop()
        self.world.versions[it.service] = it.target
        self.world.slots = [s for s in self.world.slots if s not in old] + slots
        await asyncio.sleep(LAPSE)
        for slot in old:
            self.world.store.remove(f"servers/{slot.server.id}")
            self.links.append(slot.link)
        for server in it.servers:
            server.spoils, server.slow = 0.0, 1.0

    async def _withdraw(self, it, slots):
        await asyncio.sleep(APPLY + 1 + 2 * self.rng.random())
        await asyncio.gather(*[s.server.drain(0.0) for s in slots])
        self.links += [s.link for s in slots]

    # Verdicts.

    def _judge(self, it):
        ends = it.ordered + DURATION
        ids = {s.id for s in it.servers}
        runs = [r for r in self.ledger.runs if r.service == it.service and r.arrived >= it.ordered]
        sent = [r for r in runs if r.server in ids]
        what = f"{it.service} {it.target} ({it.kind}, {it.state or 'no verdict'})"
        self.ledger.count(f"rollouts {it.kind} {it.state or 'open'}")
        if it.turned_bad is not None:
            self._judge_exposure(what, [r for r in runs if r.arrived <= ends],
                                 [r for r in sent if r.arrived <= ends])
            self._judge_rollback(what, sent)
        if it.state == "reverted":
            late = [r for r in sent if r.arrived > it.decided + APPLY + TOLERANCE
                    and self.ledger.in_touch(self.ledger.node_of(r), it.decided, r.arrived)]
            if late:
                self.ledger.violate("ROLLOUT", f"{what}: {len(late)} requests later than "
                                               f"{APPLY:.0f} s after the verdict")
        expected = "completed" if it.turned_bad is None else "reverted"
        if it.state != expected:
            self._report_state(it, what)

    def _judge_exposure(self, what, runs, sent):
        allowed = SHARE * len(runs) + SLACK
        if len(sent) > allowed:
            self.ledger.violate("EXPOSURE", f"{what}: {len(sent)} of {len(runs)} requests, "
                                            f"{allowed:.0f} are allowed")

    def _judge_rollback(self, what, sent):
        bad = sorted(r.ended for r in sent if r.spoiled and r.ended)
        if len(bad) < BAD_RESPONSES:
            return
        last = bad[BAD_RESPONSES - 1] + ROLLBACK + TOLERANCE
        late = [r for r in sent if r.arrived > last
                and self.ledger.is_calm(last, r.arrived, ("server", r.server))]
        if late:
            self.ledger.violate("EXPOSURE", f"{what}: {len(late)} requests later than "
                                            f"{ROLLBACK:.0f} s after {BAD_RESPONSES} bad responses")

    def _report_state(self, it, what):
        """The final state is judged only if nothing else was disturbed."""
        subjects = ["store", "refusals", "duty"]
        subjects += [(kind, n.name) for n in self.world.nodes for kind in ("node", "stopping")]
        until = it.ordered + DURATION
        if self.ledger.is_calm(it.ordered, until, *subjects, soak=False):
            self.ledger.violate("ROLLOUT", f"{what}: not as expected within {DURATION} s")
        else:
            self.world.log(f"rollout: {what}: not as expected, beside other faults")
