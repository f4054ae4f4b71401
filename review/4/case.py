"""A rolling restart, while the links of one zone lose packets: the duty goes from one node to the next."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import stand  # noqa: E402
from stand import wire  # noqa: E402

# A lost packet is sent again after the least retransmission time of TCP here, 200 ms.
RETRANSMISSION = 0.2 if stand.TROUBLE else 0.0


async def work(engine, r, writer):
    await asyncio.sleep(0.03)
    writer.write(wire.response(200, engine.fields(r), b"x"))


def lose_packet(world, node, path):
    """Loses the packet of the next call of a node to `path` of the cloud API. Gives an event that tells when."""
    lost = asyncio.Event()

    async def tap(data):
        if data.startswith(f"POST {path}".encode()) and not lost.is_set():
            lost.set()
            world.log(f"link: the packet with a call of {node.name} to {path} "
                      + (f"is lost and sent again after {RETRANSMISSION} s" if RETRANSMISSION else "passes"))
            await asyncio.sleep(RETRANSMISSION)
    node.duty_link.tap = tap
    return lost


async def case(world):
    world.configure([stand.route("/draft/", "safe", "model", 1500, 300, 2)],
                    [{"name": "model", "max-connections": 100, "scaling": {
                        "min": 1, "max": 4, "boot-s": 4.0, "spot-price": 0.22,
                        "zone-prices": {"a": 1.0, "b": 0.8, "c": 1.25}}}])
    for i in range(3):
        await stand.Engine(world, f"i-{i + 1}", "model", "abc"[i], 6, work).start()
    await world.start_nodes(["a", "b", "c"])

    # The rolling restart reaches the first holder.
    first = next(it for it in world.nodes if it.name == world.duties.calls[-1][3])
    first.signal(signal.SIGTERM)
    await asyncio.wait_for(first.process.wait(), stand.GRACE)
    await first.start()
    while not await first.is_ready():
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)

    # And then the second, while a call of it is on its way.
    holder = next(it for it in world.nodes if it.name == world.duties.calls[-1][3])
    if holder is first:
        raise stand.CannotRun("the first holder has the duty again")
    await asyncio.wait_for(lose_packet(world, holder, "/scale").wait(), 20)
    holder.signal(signal.SIGTERM)
    await asyncio.sleep(4)

    highest, broken = {}, []
    for at, path, subject, name, fence, _ in world.duties.calls:
        known = highest.get((path, subject), (0, ""))
        if fence < known[0]:
            broken.append((at, path, subject, name))
            world.log(f"platform: at {at:.3f} {path} {subject} came from {name} with fence {fence}, lower than {known[0]} of {known[1]}")
        highest[path, subject] = max((fence, name), known)
    if len({it[3] for it in world.duties.calls}) < 2:
        raise stand.CannotRun("the duty did not move")
    # ONE, where fencing-required is false: a call with a lower fence number than it has seen for that duty and subject.
    return not broken


stand.main(case, pathlib.Path(__file__).parent)
