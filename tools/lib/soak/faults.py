"""The faults, drawn from the seed before the run: times, kinds and parameters. Which node or server
a fault meets is drawn when it begins, from the fault's own seed. Faults come in series and overlap."""

import asyncio
import random
import signal

from . import load
from .ledger import RETURN, TOLERANCE
from .server import Server

MEAN_GAP = 1.0
# The same for what servers say of themselves in answers, and for returns of the store from a copy.
# They have a series of their own, so that a seed draws the same other faults as before.
NOTICE_GAP = 5.0
# Mean gap of servers that are listed again, large bodies and preempted streams. These are a series
# of their own, too; each kind comes once before one comes again.
LATER_GAP = 4.0
# Large bodies at once: several times what the memory budget of a node holds.
BODIES = 60
# Streams that are preempted during a planned stop, and how long their servers are silent, in seconds.
STREAMS = 8
SILENCE = (0.6, 2.0)
# Entries of silent servers lapse after three reports.
LAPSE = 3.6
# After this time an address may belong to a server of another service.
REUSE = 2.0


class Faults:
    def __init__(self, world):
        self.world = world
        self.ledger = world.ledger
        self.held = set()
        self.tasks = set()
        kinds = {
            self.node_kill: 3, self.node_stop: 4, self.node_pause: 3, self.node_hangup: 2,
            self.node_twice: 2, self.rolling_restart: 1, self.all_killed: 1, self.store_down: 2,
            self.store_loses_answers: 2, self.store_refuses: 3, self.store_compacts: 2,
            self.store_forgets_servers: 1, self.store_link: 3, self.peer_link: 4,
            self.duty_fails: 2, self.server_crash: 4, self.server_drains: 5,
            self.server_vanishes: 2, self.server_slow: 2, self.server_freezes: 2,
            self.server_cuts: 3, self.server_repeats: 2, self.server_link: 3, self.zone_drains: 1,
        }
        self.kinds = [kind for kind, weight in kinds.items() for _ in range(weight)]
        self.notices = [self.server_limits, self.server_limits, self.server_pauses,
                        self.store_restored]
        self.later = [self.server_relisted, self.large_bodies, self.streams_preempted]

    def plan(self, seed, seconds):
        """[(time, kind, seed of the fault)]"""
        rng = random.Random(seed)
        at, out = 1.0, []
        while at < seconds:
            out.append((at, rng.choice(self.kinds), rng.getrandbits(32)))
            at += rng.expovariate(1 / MEAN_GAP)
        rng = random.Random(f"notices {seed}")
        at = rng.expovariate(1 / NOTICE_GAP)
        while at < seconds:
            out.append((at, rng.choice(self.notices), rng.getrandbits(32)))
            at += rng.expovariate(1 / NOTICE_GAP)
        rng = random.Random(f"later {seed}")
        at, kinds = rng.expovariate(1 / LATER_GAP), []
        while at < seconds:
            kinds = kinds or rng.sample(self.later, len(self.later))
            out.append((at, kinds.pop(), rng.getrandbits(32)))
            at += rng.expovariate(1 / LATER_GAP)
        return sorted(out, key=lambda it: it[0])

    async def run(self, plan):
        begin = self.world.now()
        for at, kind, seed in plan:
            await asyncio.sleep(max(0.0, begin + at - self.world.now()))
            task = asyncio.create_task(self._one(kind, random.Random(seed)))
            self.tasks.add(task)
            task.add_done_callback(self._ended)
        if self.tasks:
            await asyncio.wait(list(self.tasks))

    def _ended(self, task):
        self.tasks.discard(task)
        # A fault that did not end as planned leaves its target disturbed.
        if not task.cancelled() and task.exception() is not None:
            self.ledger.violate("SOAK", f"a fault failed: {task.exception()!r}")

    async def _one(self, kind, rng):
        self.ledger.count("faults")
        self.world.log(f"fault: {kind.__name__}")
        await kind(rng)

    def _take(self, candidates, rng):
        free = [it for it in candidates if it not in self.held]
        if not free:
            return None
        chosen = rng.choice(free)
        self.held.add(chosen)
        return chosen

    async def _during(self, subjects, seconds, begin, end):
        span = self.ledger.begin(*subjects)
        begin()
        await asyncio.sleep(seconds)
        end()
        self.ledger.end(span)

    # Nodes.

    async def _with_node(self, rng, act):
        node = self._take(self.world.nodes, rng)
        if node is not None:
            self.world.log(f"  at {node.name}")
            await act(node)
            self.held.discard(node)

    async def _kill(self, node, away):
        span = self.ledger.begin(("node", node.name))
        await node.kill()
        await asyncio.sleep(away)
        await node.start()
        self.ledger.end(span)

    async def _restart(self, node):
        """Planned: a stop breaks nothing off, so it is no disturbance of the node's requests."""
        span = self.ledger.begin(("stopping", node.name))
        await node.stop()
        await node.start()
        self.ledger.end(span)

    async def node_kill(self, rng):
        await self._with_node(rng, lambda it: self._kill(it, 0.2 + 3 * rng.random()))

    async def node_stop(self, rng):
        await self._with_node(rng, self._restart)

    async def node_twice(self, rng):
        async def act(node):
            await self._restart(node)
            await asyncio.sleep(rng.random())
            node.signal(signal.SIGHUP)
            await self._restart(node)
        await self._with_node(rng, act)

    async def node_pause(self, rng):
        async def act(node):
            await self._during([("node", node.name)], 0.2 + 4 * rng.random() ** 2,
                               lambda: node.signal(signal.SIGSTOP),
                               lambda: node.signal(signal.SIGCONT))
        await self._with_node(rng, act)

    async def node_hangup(self, rng):
        async def act(node):
            for _ in range(rng.randrange(1, 4)):
                node.signal(signal.SIGHUP)
                await asyncio.sleep(0.3 * rng.random())
        await self._with_node(rng, act)

    async def rolling_restart(self, rng):
        for node in self.world.nodes:
            if node not in self.held:
                self.held.add(node)
                await self._restart(node)
                self.held.discard(node)

    async def all_killed(self, rng):
        free = [it for it in self.world.nodes if it not in self.held]
        self.held |= set(free)
        away = 0.2 + 2 * rng.random()
        await asyncio.gather(*[self._kill(it, away) for it in free])
        self.held -= set(free)

    # The store and the duties.

    async def _store_mode(self, mode, seconds, at_end=lambda: None):
        if "store" in self.held:
            return

        def end():
            at_end()
            self.world.store.mode = "ok"
        self.held.add("store")
        await self._during(["store"], seconds, lambda: setattr(self.world.store, "mode", mode), end)
        self.held.discard("store")

    async def store_down(self, rng):
        await self._store_mode(rng.choice(["down", "silent"]), 0.5 + 5 * rng.random())

    async def store_loses_answers(self, rng):
        await self._store_mode("lose", 0.5 + 2 * rng.random())

    async def store_refuses(self, rng):
        modes = self.world.store.node_modes
        mode = rng.choice(["down", "silent"])

        async def act(node):
            await self._during(["refusals"], 1 + 5 * rng.random(),
                               lambda: modes.update({node.name: mode}),
                               lambda: modes.pop(node.name))
        await self._with_node(rng, act)

    async def store_compacts(self, rng):
        self.world.store.compact()

    async def store_forgets_servers(self, rng):
        """The store is away for longer than entries live; they are back within two seconds."""
        if "store" in self.held:
            return
        slots = [it for it in self.world.slots if it not in self.held]
        self.held |= set(slots)
        await self._store_mode("down", LAPSE + 1)
        span = self.ledger.begin("store")
        lost = [it.server for it in slots if rng.random() < 0.6]
        for server in lost:
            self.world.store.remove(f"servers/{server.id}")
        await asyncio.sleep(0.2 + 1.5 * rng.random())
        for server in lost:
            server.announce()
        self.ledger.end(span)
        self.held -= set(slots)

    async def duty_fails(self, rng):
        duties = self.world.duties
        mode = rng.choice(["down", "silent", "lose"])
        await self._during(["duty"], 0.5 + 4 * rng.random(),
                           lambda: setattr(duties, "mode", mode),
                           lambda: setattr(duties, "mode", "ok"))

    async def store_restored(self, rng):
        """The store is away for a moment and comes back from a copy some seconds old."""
        age = 1 + 8 * rng.random()
        await self._store_mode("down", 0.3 + 2 * rng.random(),
                               lambda: self.world.store.restore(age))

    # Links.

    async def _harm(self, link, subjects, rng):
        if link in self.held:
            return
        self.held.add(link)
        harm = rng.choice(["reset", "delay", "silent", "deaf", "mute", "refuse"])
        span = self.ledger.begin(*subjects)
        if harm == "reset":
            link.reset()
        elif harm == "delay":
            link.delay = 0.05 + 0.4 * rng.random()
        elif harm == "refuse":
            link.refuse = True
            link.reset()
        else:
            link.silent_up = harm in ("silent", "mute")
            link.silent_down = harm in ("silent", "deaf")
        await asyncio.sleep(0.3 + 4 * rng.random())
        link.release()
        self.ledger.end(span)
        self.held.discard(link)

    async def store_link(self, rng):
        node = rng.choice(self.world.nodes)
        await self._harm(node.store_link, [("node", node.name)], rng)

    async def peer_link(self, rng):
        node = rng.choice(self.world.nodes)
        await self._harm(node.peer_link, [("node", node.name)], rng)

    async def server_link(self, rng):
        slot = rng.choice(self.world.slots)
        await self._harm(slot.link, [("server", slot.server.id)], rng)

    # Backend servers.

    async def _with_slot(self, rng, act, zone=None):
        slot = self._take([it for it in self.world.slots if zone in (None, it.zone)], rng)
        if slot is not None:
            self.world.log(f"  at {slot.server.id}")
            await act(slot)
            self.held.discard(slot)

    async def _replace(self, slot, rng, id=None):
        """Another server at the same address, mostly of the same service."""
        service = slot.server.service
        others = [it.server.service for it in self.world.slots if it is not slot]
        if id is None and rng.random() < 0.2 and others.count(service) > 2:
            service = "model" if service == "app" else "app"
        server = Server(self.world, id or self.world.new_id(), service, slot.zone, rng)
        slot.server = server
        await server.start(slot.link)

    async def server_crash(self, rng):
        async def act(slot):
            old = slot.server
            span = self.ledger.begin(("server", old.id))
            old.stop()
            away = 0.5 + 3 * rng.random()
            same = rng.random() < 0.3
            await asyncio.sleep(away)
            if same:
                await self._replace(slot, rng, old.id)
                await asyncio.sleep(1.0)
                self.ledger.end(span)
                return
            await asyncio.sleep(max(0.0, max(LAPSE, REUSE) - away))
            self.world.store.remove(f"servers/{old.id}")
            await self._replace(slot, rng)
        await self._with_slot(rng, act)

    async def _drain(self, slot, rng, announced=True):
        old = slot.server
        await old.drain(3 * rng.random() ** 2, announced)
        self.ledger.begin(("server", old.id))
        await asyncio.sleep(REUSE)
        await self._replace(slot, rng)

    async def server_drains(self, rng):
        await self._with_slot(rng, lambda it: self._drain(it, rng))

    async def server_vanishes(self, rng):
        await self._with_slot(rng, lambda it: self._drain(it, rng, False))

    async def zone_drains(self, rng):
        zone = rng.choice("abc")
        slots = [it for it in self.world.slots if it.zone == zone and it not in self.held]
        self.held |= set(slots)
        await asyncio.gather(*[self._drain(it, rng) for it in slots])
        self.held -= set(slots)

    async def _server_fault(self, rng, seconds, begin, end):
        async def act(slot):
            server = slot.server
            await self._during([("server", server.id)], seconds, lambda: begin(server),
                               lambda: end(server))
        await self._with_slot(rng, act)

    async def server_slow(self, rng):
        factor = 3 + 10 * rng.random()
        await self._server_fault(rng, 1 + 5 * rng.random(),
                                 lambda it: setattr(it, "slow", factor),
                                 lambda it: setattr(it, "slow", 1.0))

    async def server_freezes(self, rng):
        await self._server_fault(rng, 0.3 + 5 * rng.random(),
                                 lambda it: setattr(it, "frozen", True),
                                 lambda it: setattr(it, "frozen", False))

    async def server_cuts(self, rng):
        n = rng.randrange(1, 6)
        await self._server_fault(rng, 2.0, lambda it: setattr(it, "cut_next", n),
                                 lambda it: setattr(it, "cut_next", 0))

    async def server_repeats(self, rng):
        n = rng.randrange(1, 6)
        await self._server_fault(rng, 2.0, lambda it: setattr(it, "extra_next", n),
                                 lambda it: setattr(it, "extra_next", 0))

    # What servers say of themselves. This disturbs neither nodes nor the answers of the servers.

    async def server_limits(self, rng):
        limit, seconds = 0.3 + 3 * rng.random() ** 2, 8 + 6 * rng.random()

        async def act(slot):
            slot.server.limit = limit
            server = slot.server
            await asyncio.sleep(seconds)
            server.limit = None
            self.ledger.limit_ended(server)
        await self._with_slot(rng, act)

    async def server_pauses(self, rng):
        async def act(slot):
            slot.server.pause, slot.server.pause_next = 1 + 3 * rng.random(), rng.randrange(1, 5)
            await asyncio.sleep(5)
        await self._with_slot(rng, act)

    async def server_relisted(self, rng):
        """The server cannot reach the store: its entry lapses and comes back unchanged. It serves
        all the time, so this disturbs no request."""
        async def act(slot):
            server, store = slot.server, self.world.store
            server.is_cut_off = True
            await asyncio.sleep(LAPSE)
            store.remove(f"servers/{server.id}")
            await asyncio.sleep(0.2 + 4 * rng.random())
            while store.mode != "ok":
                await asyncio.sleep(0.1)
            server.is_cut_off = False
            server.announce()
            listed = self.world.now()
            await asyncio.sleep(RETURN + TOLERANCE)
            self.ledger.judge_return(server, listed, [it.server for it in self.world.slots])
        await self._with_slot(rng, act)

    # Load beside the usual one.

    async def large_bodies(self, rng):
        """Does not hold the node: it may stop or be killed meanwhile."""
        node = rng.choice([it for it in self.world.nodes if it not in self.held]
                          or self.world.nodes)
        self.world.log(f"  at {node.name}")
        await load.send_bodies(self.world, node, BODIES, rng)

    async def streams_preempted(self, rng):
        """Servers are silent within streams of a node that is stopped as planned. Nothing else
        disturbs these servers meanwhile."""
        async def act(node):
            slots = [it for it in self.world.slots
                     if it.server.service == "model" and it not in self.held]
            mine = set(slots) | {it.link for it in slots if it.link not in self.held}
            self.held |= mine
            # In some cases all streams of the servers, so that their slots run short.
            servers = [it.server for it in slots] if rng.random() < 0.3 else []
            self.world.log(f"  at {node.name}, all streams of {[it.id for it in servers]}")
            streams = await load.open_streams(self.world, node, STREAMS, SILENCE, rng)
            for server in servers:
                server.silence = SILENCE
            await asyncio.sleep(0.3)
            await asyncio.gather(self._restart(node), *streams)
            for server in servers:
                server.silence = None
            self.held -= mine
        await self._with_node(rng, act)
