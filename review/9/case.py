"""A tenant asks for more than its limit on three nodes, and three in ten of its callers leave after the
first event of their stream."""

import asyncio
import pathlib
import random
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import deployment
from deployment import HOST, TROUBLE, wire

RATE = BURST = 200_000
COST = 5_000
PER_SECOND, SECONDS = 90, 25
LEAVING = 0.3
WINDOW, OVERSHOOT, SLACK = 8.0, 0.1, 190_000


def config():
    return {"version": 1, "limits": deployment.LIMITS,
            "routes": [deployment.route("/draft/", "streaming", "model", **{
                "stream-resume": True, "max-attempts": 2, "gap-target-ms": 300})],
            "services": [{"name": "model", "health-path": "/healthz", "max-connections": 360}],
            "tenants": [{"name": "t", "api-keys": ["k"], "unit": "tokens", "uncached-tokens": 200,
                         "rate-per-s": RATE, "burst": BURST}]}


async def case(d):
    rng = random.Random(1)
    sent, runs, seen, said, ran = {}, [], {}, {}, {}

    async def handler(engine, request, reader, writer):
        attempt = request.fields.get("attempt-id", "")
        await asyncio.sleep(0.02)
        runs.append((sent[attempt], d.now()))
        ran[attempt] = f"ran at {engine.id} from {d.now():.3f}"
        writer.write(wire.head("HTTP/1.1 200 OK", {
            "Attempt-Id": attempt, "Server-Stamp": engine.stamp(),
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for n in range(1, 11):
            if reader.at_eof() or writer.transport.is_closing():
                return False
            writer.write(wire.chunk(f"id: {n}\ndata: {n}/10\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return True

    def count(what):
        seen[what] = seen.get(what, 0) + 1

    async def call(node, leaves):
        attempt = uuid.uuid4().hex[:16]
        sent[attempt] = d.now()
        said[attempt] = f"to {node.name}: no answer"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.caller)
            writer.write(wire.request("POST", "/draft/1", {
                "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": 6000, "X-Api-Key": "k", "Model": "m",
                "Token-Usage": f"{COST - 200},200",
                "Prompt-Prefix": f"5c1e07a2:800,{attempt[:8]}:{COST - 1000}"}, b"x" * 300))
            answer = await wire.read_head(reader)
            count(answer.status if answer else "closed")
            said[attempt] = f"to {node.name}: {answer.status if answer else 'closed'}"
            if answer and answer.status == 200:
                while await wire.read_chunk(reader):
                    if leaves:
                        count("left after the first event")
                        said[attempt] += ", the caller left after the first event"
                        break
            wire.abort(writer)
        except (OSError, wire.BrokenMessage):
            count("broken off")

    d.configure(config())
    for i in (1, 2, 3):
        await d.engine(f"i-{i}", "model", handler, slots=64)
    await d.start_nodes(["a", "b", "c"])
    await asyncio.sleep(4.0)
    calls = []
    for i in range(PER_SECOND * SECONDS):
        calls.append(asyncio.create_task(call(d.nodes[i % 3], TROUBLE and rng.random() < LEAVING)))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*calls)
    for attempt, at in sent.items():
        d.record(f"{attempt} sent at {at:.3f} {said[attempt]}; {ran.get(attempt, 'not run')}")
    d.record(f"callers: {len(calls)} requests of {COST} tokens; {seen}")
    if seen.get(200, 0) < 100:
        raise deployment.CannotRun("hardly anything was served")
    allowed = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
    most, since = max((COST * sum(1 for s, ran in runs if s >= at and ran < at + WINDOW), at)
                      for at, _ in runs[::10])
    d.record(f"engines: at most {most} tokens sent and run within {WINDOW:.0f} s, from {since:.2f}; "
             f"{allowed:.0f} are allowed")
    return most > allowed


deployment.main(case, pathlib.Path(__file__).parent)
