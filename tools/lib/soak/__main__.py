"""Runs one seed of the fault soak; see tools/fault-soak for its use.

Exit status: 0 when every promise held, 1 otherwise. The logs of a run that failed are kept.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from .caller import Caller
from .faults import Faults
from .ledger import Ledger
from .link import Link
from .node import MEMORY_MB, ROOT, Node
from .platform import QUOTA, Duties, Operator, check_usage
from .rollouts import SETTINGS, Rollouts, is_supported
from .server import Server, Slot
from .store import Store

ZONES = "abc"
APP_SERVERS, MODEL_SERVERS = 6, 4
CALLERS, PRESSING = 20, 8
RECOVER_TIME = 12.0
# The soak's own event loop must not be taken for a slow node.
LAG = 0.12


# Ports of one soak: five for each node, and one for each place for servers from SERVER_PORTS on.
# Blocks lie between the ports of tools/chaos and of tools/demo.
FIRST_PORT, LAST_PORT, BLOCK, SERVER_PORTS = 15000, 20700, 300, 200


def bound(port):
    it = socket.socket()
    it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    it.bind(("127.0.0.1", port))
    return it


def claim_block():
    """(first port of a block in which no port is in use, socket that claims the block). The claim is
    the block's last port, so that two soaks that start at once do not choose the same."""
    for base in range(FIRST_PORT, LAST_PORT, BLOCK):
        try:
            claim = bound(base + BLOCK - 1)
            claim.listen()
            for port in range(base, base + BLOCK - 1):
                bound(port).close()
            return base, claim
        except OSError:
            continue
    sys.exit("fault-soak: no free ports")


class World:
    def __init__(self, options):
        self.options = options
        self.port, self.claim = (options.port, None) if options.port else claim_block()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="chervil-soak-"))
        # A copy, so that a build meanwhile does not change the program under a run.
        self.program = self.directory / "chervilcoursed"
        shutil.copy2(ROOT / options.build / "packages/daemon/chervilcoursed", self.program)
        # By service; servers of other versions belong to a rollout.
        self.versions = {"app": "1", "model": "1"}
        self.extra_settings = {"edge.memory_mb": MEMORY_MB}
        supported = options.rollouts is not None and is_supported(self.program)
        self.has_rollouts = supported or options.rollouts == "always"
        if supported:
            self.extra_settings.update(SETTINGS)
        elif options.rollouts is not None:
            print("fault-soak: the node knows no settings of rollouts"
                  + ("" if self.has_rollouts else "; no orders are written"))
        self.begin = time.monotonic()
        self.ending = self.closing = False
        self.keys = {"plain": "key-of-plain", "limited": "key-of-limited"}
        self.retry_slack = 30
        self.ids = 0
        self.events = (self.directory / "events.log").open("w")
        self.ledger = Ledger(self)
        self.store = Store(self)
        self.duties = Duties(self)
        self.nodes, self.slots = [], []

    def now(self):
        return time.monotonic() - self.begin

    def wall(self):
        return time.time()

    def log(self, text):
        self.events.write(f"{self.now():9.3f} {text}\n")
        self.events.flush()

    def new_id(self):
        self.ids += 1
        return f"i{self.ids}"

    def node_at(self, address):
        return next((it.name for it in self.nodes if it.address == address), "?")

    async def start(self):
        self.duty_port = await self.duties.listen()
        self.operator.write()
        for i in range(self.options.nodes):
            zone = ZONES[i % len(ZONES)]
            self.nodes.append(Node(self, f"n-{zone}-{i}", zone, self.port + 5 * i))
        for node in self.nodes:
            await node.prepare()
        for i in range(APP_SERVERS + MODEL_SERVERS):
            link = await Link.start(self.port + SERVER_PORTS + i)
            zone = ZONES[i % len(ZONES)]
            server = Server(self, self.new_id(), "app" if i < APP_SERVERS else "model", zone,
                            random.Random(i))
            self.slots.append(Slot(link, zone, server))
            await server.start(link)
        for node in self.nodes:
            await node.start()
        await self.serve_all(15.0)

    async def serve_all(self, within):
        """Waits until each node has served a request; False if one has not."""
        end = self.now() + within
        for node in self.nodes:
            while not await self._serves(node):
                if self.now() > end:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def _serves(self, node):
        caller = Caller(self, random.Random(0))
        caller.addresses, caller.until = [node.address], float("inf")
        channel = await caller._channel_to(set())
        if channel is None:
            return False
        attempt, _ = await caller.attempt("safe", "/app/check/1", b"", channel, 3.0)
        caller.close()
        return attempt.status == 200

    async def watch_self(self):
        while not self.closing:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            lag = time.monotonic() - before - 0.05
            if lag > LAG:
                self.ledger.count("soak late")
                span = self.ledger.begin("soak")
                span["from"] -= lag
                self.ledger.end(span)
            for node in self.nodes:
                node.measure()


async def play(world):
    options = world.options
    rng = random.Random(options.seed)
    world.operator = Operator(world, random.Random(rng.getrandbits(32)))
    await world.start()
    began = world.now()
    faults = Faults(world)
    plan = faults.plan(options.seed, options.minutes * 60)
    rollouts = Rollouts(world, faults, random.Random(f"rollouts {options.seed}"),
                        world.port + SERVER_PORTS + APP_SERVERS + MODEL_SERVERS)
    tasks = [asyncio.create_task(world.watch_self()), asyncio.create_task(world.operator.run())]
    for _ in range(CALLERS):
        tasks.append(asyncio.create_task(Caller(world, random.Random(rng.random())).run()))
    for _ in range(PRESSING):
        tasks.append(asyncio.create_task(
            Caller(world, random.Random(rng.random())).run(("quota",), 0.15)))
    if world.has_rollouts:
        tasks.append(asyncio.create_task(rollouts.run()))
    if not options.calm:
        await faults.run(plan)
    else:
        await asyncio.sleep(options.minutes * 60)
    world.log("faults are over")
    rollouts.over = True
    await asyncio.sleep(RECOVER_TIME)
    recovered = world.now()
    # Long enough for the usage of one undisturbed window to fall due.
    await asyncio.sleep(8.0)
    sent = [a for a in world.ledger.attempts.values()
            if a.sent > recovered and a.ended and a.kind != "quota" and a.tenant == "plain"
            and a.end != "left"]
    served = sum(1 for a in sent if 200 <= a.status < 300)
    if served < 0.9 * len(sent) or not sent:
        world.ledger.violate("RECOVER", f"{served} of {len(sent)} served after {RECOVER_TIME} s")
    if not await world.serve_all(5.0):
        world.ledger.violate("RECOVER", "a node serves nothing after the faults")
    windows = check_usage(world, began)
    world.ending = True
    await asyncio.gather(*tasks[1:])
    world.closing = True
    # What is cut off at the end of the run is no error.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    await asyncio.gather(*[it.stop() for it in world.nodes])
    tasks[0].cancel()
    world.ledger.finish(QUOTA, world.retry_slack)
    world.ledger.counts["usage windows"] = windows
    for name, n in world.store.calls.items():
        world.ledger.counts[f"{name} per s"] = round(n / world.now(), 1)


def main():
    parser = argparse.ArgumentParser(prog="fault-soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--port", type=int, default=0, help="first of 300 ports; free ones if 0")
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--rollouts", nargs="?", const="supported", choices=["supported", "always"])
    options = parser.parse_args()
    # Ends the nodes, too, when the soak is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = World(options)
    try:
        asyncio.run(play(world))
    finally:
        for node in world.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
    ledger = world.ledger
    counts = " ".join(f"{k.replace(' ', '_')}={v}" for k, v in sorted(ledger.counts.items()))
    peak = max((it.peak_mb for it in world.nodes), default=0)
    for at, rule, text in ledger.violations[:20]:
        print(f"fault-soak: seed {options.seed}: {at:8.2f} {rule}: {text}")
    print(f"fault-soak: seed={options.seed} violations={len(ledger.violations)} "
          f"attempts={len(ledger.attempts)} peak_mb={peak} {counts}")
    if ledger.violations or options.keep:
        print(f"fault-soak: logs are in {world.directory}")
    else:
        shutil.rmtree(world.directory)
    sys.exit(1 if ledger.violations else 0)


if __name__ == "__main__":
    main()
