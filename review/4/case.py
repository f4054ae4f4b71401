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


class LossyLink:
    """Loses the first packet of one call on the link of a node to the platform's cloud API."""

    def __init__(self, world, node, path):
        self.world, self.node, self.path = world, node, path
        self.lost = asyncio.Event()
        link, pump = node.duty_link, node.duty_link._pump

        async def pumped(reader, writer, direction):
            if direction == "silent_up":
                read = reader.read

                async def reads(n):
                    data = await read(n)
                    if data.startswith(f"POST {path}".encode()) and not self.lost.is_set():
                        self.lost.set()
                        world.log(f"link: a packet of {node.name} with a call to {path} is lost and sent again after {RETRANSMISSION} s"
                                  if RETRANSMISSION else f"link: a call of {node.name} to {path} passes")
                        await asyncio.sleep(RETRANSMISSION)
                    return data
                reader.read = reads
            await pump(reader, writer, direction)
        link._pump = pumped
        # Also the channels that are open already go through it.
        link.reset()


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
    link = LossyLink(world, holder, "/scale")
    await asyncio.wait_for(link.lost.wait(), 20)
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
