"""A request crashes each engine that begins to run it, as the engine writes its first token."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from stand import CONTACT, TROUBLE, Engine, Requester, Stand, route, run, service, wire  # noqa: E402

ENGINES = 8
SHARED = "5c1e07a2"
KILLER = "/draft/c0ffee"
KEY = "i9n73hh2b9wu3fexd9dn"
BACK_AFTER = 2.5
# Arrivals of the request that the rule allows after the third crash and contact-ms.
ALLOWED = 3

crashes = []
arrivals = []


class Model(Engine):
    async def work(self, request, attempt, reader, writer):
        is_killer = request.target == KILLER
        if is_killer:
            arrivals.append(self.stand.now())
            self.stand.log(f"the request reaches {self.id} as {attempt}")
        # The prompt is read, and the first token made.
        await asyncio.sleep(0.06)
        fields = {**self.fields(attempt), "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        writer.write(wire.head("HTTP/1.1 200 OK", fields))
        for n in range(1, 25):
            event = f"id: {n}\ndata: {attempt}\n\n".encode()
            if is_killer and TROUBLE:
                # Cut off in the middle of an event.
                writer.write(wire.chunk(event[:9]))
                await writer.drain()
                await asyncio.sleep(0.005)
                crashes.append(self.stand.now())
                self.stand.tasks.append(asyncio.create_task(self.crash_and_return(BACK_AFTER)))
                await asyncio.sleep(0)
                return False
            writer.write(wire.chunk(event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return True


async def sound(stand, node, rng, end):
    requester = Requester(stand, node)
    served = total = 0
    while stand.now() < end:
        status, _, _ = await requester.send(
            "POST", f"/letter/{rng.getrandbits(32):08x}", {
                "Model": "m", "Token-Usage": "1050,80",
                "Prompt-Prefix": f"{SHARED}:800,{rng.getrandbits(32):08x}:250"},
            b"p" * 300, key=KEY)
        total += 1
        served += status == 200
        await asyncio.sleep(0.3)
    requester.close()
    stand.log(f"sound requests at {node.name}: {served} of {total} served")


async def main(stand: Stand):
    rng = random.Random(13)
    await stand.prepare(nodes=2)
    stand.write_config(
        [route("/draft/", "streaming", "model", **{
            "stream-resume": True, "session-affinity": True, "gap-target-ms": 300}),
         route("/letter/", "streaming", "model", **{
             "max-attempts": 1, "session-affinity": True, "gap-target-ms": 300})],
        [service("model", engine={"slots": 64, "kv-capacity": 600000})],
        [{"name": "hule930", "api-keys": [KEY]}])
    for _ in range(ENGINES):
        await Model(stand, "model").start()
    await stand.ready()
    await asyncio.sleep(3.0)
    end = stand.now() + 60
    others = [asyncio.create_task(sound(stand, node, rng, end))
              for node in stand.nodes for _ in range(3)]
    await asyncio.sleep(3.0)
    n = 0
    while stand.now() < end - 6:
        # The same path, caller and body, at any machine.
        requester = Requester(stand, stand.nodes[n % len(stand.nodes)])
        n += 1
        status, _, _ = await requester.send(
            "POST", KILLER, {"Model": "m", "Token-Usage": "1050,80",
                             "Prompt-Prefix": f"{SHARED}:800,0badf00d:250"},
            b"the same body", key=KEY)
        stand.log(f"request {n} by {requester.node.name}: status {status}")
        requester.close()
        await asyncio.sleep(2.0)
    await asyncio.gather(*others)
    third = crashes[2] if len(crashes) > 2 else None
    late = [it for it in arrivals if third is not None and it > third + CONTACT]
    stand.log(f"{len(crashes)} crashes, the third at {third}; the request reached engines "
              f"{len(late)} times later than {CONTACT} s after it, {ALLOWED} are allowed")
    return len(late) > ALLOWED


run(main, __file__)
