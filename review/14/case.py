"""One part of a prompt crashes each engine that begins to write an answer on it."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from stand import CONTACT, TROUBLE, Engine, Requester, Stand, route, run, service, wire  # noqa: E402

ENGINES = 8
BAD = "bad0bad0"
SHARED = "5c1e07a2"
KEY = "i9n73hh2b9wu3fexd9dn"
BACK_AFTER = 2.5
# Arrivals of the bad part at engines that the rule allows after the fifth crash and contact-ms.
ALLOWED = 3

crashes = []
arrivals = []


class Model(Engine):
    async def work(self, request, attempt, reader, writer):
        is_bad = BAD in request.fields.get("prompt-prefix", "")
        if is_bad:
            arrivals.append(self.stand.now())
            self.stand.log(f"request {attempt} with the part {BAD} reaches {self.id}")
        # The prompt is read, and the first token made.
        await asyncio.sleep(0.06)
        if is_bad and TROUBLE:
            # It begins to write the answer, and its process ends.
            writer.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt.encode())
            await writer.drain()
            await asyncio.sleep(0.005)
            crashes.append(self.stand.now())
            self.stand.tasks.append(asyncio.create_task(self.crash_and_return(BACK_AFTER)))
            await asyncio.sleep(0)
            return False
        fields = {**self.fields(attempt), "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        writer.write(wire.head("HTTP/1.1 200 OK", fields))
        for n in range(1, 25):
            writer.write(wire.chunk(f"id: {n}\ndata: {attempt}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return True


async def sound(stand, node, rng, end):
    requester = Requester(stand, node)
    served = total = 0
    while stand.now() < end:
        prompt = f"{SHARED}:800,91bd3f06:410,{rng.getrandbits(32):08x}:250"
        status, _, _ = await requester.send(
            "POST", f"/letter/{rng.getrandbits(32):08x}", {
                "Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": prompt}, b"p" * 300, key=KEY)
        total += 1
        served += status == 200
        await asyncio.sleep(0.3)
    requester.close()
    stand.log(f"sound requests at {node.name}: {served} of {total} served")


async def main(stand: Stand):
    rng = random.Random(14)
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
        # No two alike: path, body and last part differ.
        requester = Requester(stand, stand.nodes[n % len(stand.nodes)])
        n += 1
        prompt = f"{SHARED}:800,{BAD}:410,{rng.getrandbits(32):08x}:250"
        status, _, _ = await requester.send(
            "POST", f"/draft/{rng.getrandbits(32):08x}", {
                "Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": prompt},
            f"prompt {n}".encode(), key=KEY)
        stand.log(f"request {n} with the part {BAD} by {requester.node.name}: status {status}")
        requester.close()
        await asyncio.sleep(2.0)
    await asyncio.gather(*others)
    fifth = crashes[4] if len(crashes) > 4 else None
    late = [it for it in arrivals if fifth is not None and it > fifth + CONTACT]
    stand.log(f"{len(crashes)} crashes, the fifth at {fifth}; {len(late)} requests with the part "
              f"reached engines later than {CONTACT} s after it, {ALLOWED} are allowed")
    return len(late) > ALLOWED


run(main, __file__)
