"""An engine that wants nothing for a time loses its way to the store meanwhile and is listed again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from stand import LAPSE, TROUBLE, Engine, Requester, Stand, route, run, service, wire  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
# Seconds that the engine asks for, and how long its way to the store is cut.
RETRY_AFTER = 30.0
CUT = 6.0
# Requests that may reach the engine from one machine between half a second after its answer and the
# end of the time.
ALLOWED = 2

# (time, node's address or attempt, what)
refusals = {}
arrivals = []


class App(Engine):
    """Turns away what comes while it is full."""
    full_until = 0.0

    async def work(self, request, attempt, reader, writer):
        node = request.fields["x-from"]
        arrivals.append((self.stand.now(), self, node))
        if self.stand.now() < self.full_until:
            left = RETRY_AFTER
            refusals.setdefault((self, node), self.stand.now())
            self.stand.log(f"{self.id} answers {node} 503, Retry-After {left}")
            writer.write(wire.response(503, {"Attempt-Id": attempt, "Not-Executed": "1",
                                             "Retry-After": f"{left:.1f}"}))
            return True
        await asyncio.sleep(0.03)
        writer.write(wire.response(200, self.fields(attempt), b"done " + attempt.encode()))
        return True


async def callers(stand, node, rng, end):
    requester = Requester(stand, node)
    counts = {}
    while stand.now() < end:
        status, _, _ = await requester.send(
            "GET", f"/app/{rng.getrandbits(32):08x}", {"X-From": node.name}, deadline=3.0, key=KEY)
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05)
    requester.close()
    stand.log(f"requests at {node.name} by status: {counts}")


async def main(stand: Stand):
    rng = random.Random(14)
    await stand.prepare(nodes=2)
    stand.write_config([route("/app/", "safe", "app", **{"timeout-ms": 3000})],
                       [service("app", **{"max-connections": 100})],
                       [{"name": "hule930", "api-keys": [KEY]}])
    engines = [App(stand, "app", slots=6) for _ in range(3)]
    for it in engines:
        await it.start()
    await stand.ready()
    await asyncio.sleep(3.0)
    end = stand.now() + 40
    tasks = [asyncio.create_task(callers(stand, node, rng, end)) for node in stand.nodes]
    await asyncio.sleep(2.0)
    busy = engines[0]
    busy.full_until = stand.now() + 1.0
    stand.log(f"{busy.id} is full for a second")
    await asyncio.sleep(2.0)
    if TROUBLE:
        busy.reaches_store = False
        cut = stand.now()
        stand.log(f"{busy.id} is partitioned from the store")
        await asyncio.sleep(max(0.0, busy.announced + LAPSE - stand.now()))
        stand.store.remove(f"servers/{busy.id}")
        stand.log(f"the store removes the entry of {busy.id}")
        await asyncio.sleep(max(0.0, cut + CUT - stand.now()))
        busy.reaches_store = True
        busy.announce()
        stand.log(f"{busy.id} reaches the store and reports again, the same start")
    await asyncio.gather(*tasks)
    worst = 0
    for node in stand.nodes:
        refused = refusals.get((busy, node.name))
        if refused is None:
            stand.log(f"{node.name} was never turned away")
            continue
        early = [at for at, engine, name in arrivals if engine is busy and name == node.name
                 and refused + 0.5 < at < refused + RETRY_AFTER]
        stand.log(f"{node.name} was turned away at {refused:.3f} for {RETRY_AFTER} s; {len(early)} "
                  f"requests reached {busy.id} from it meanwhile, {ALLOWED} are allowed"
                  + (f"; the first at {early[0]:.3f}" if early else ""))
        worst = max(worst, len(early))
    if not refusals:
        raise RuntimeError("no request was turned away")
    return worst > ALLOWED


run(main, __file__)
