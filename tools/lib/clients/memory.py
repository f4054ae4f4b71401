"""Peak memory of a node beside many requests at once. Usage, in tools/lib:
    python3 -m clients.memory --program FILE [--memory-mb N]

Prints one line for each number and size of requests: peak resident memory, requests answered 200
and refused 503, and whether the process lives. Not a test: the shares depend on the machine.
"""

import argparse
import asyncio
import pathlib

from soak import wire

from .stand import Stand

COUNTS, SIZES = (20, 200, 2000), (1 << 10, 4 << 20)
TIMEOUT = 60.0
PART = 256 << 10


async def exchange(stand, size):
    """Status of one request with a body of `size` bytes; 0 without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(stand.connect(), TIMEOUT)
        writer.write(stand.head("/short/m", **{"Content-Length": size}))
        for at in range(0, size, PART):
            writer.write(bytes(min(PART, size - at)))
            await asyncio.wait_for(writer.drain(), TIMEOUT)
        answer = await asyncio.wait_for(wire.read_message(reader), TIMEOUT)
        return answer.status if answer is not None else 0
    except (OSError, wire.BrokenMessage, asyncio.TimeoutError):
        return 0
    finally:
        if writer is not None:
            wire.abort(writer)


async def measure(program, memory_mb, count, size):
    async with Stand(program, memory_mb=memory_mb, descriptors=8192) as stand:
        statuses = await asyncio.gather(*[exchange(stand, size) for _ in range(count)])
        if not stand.alive():
            return f"{count:5} of {size:8} bytes: the process ended"
        return (f"{count:5} of {size:8} bytes: peak {stand.peak_mb():4.0f} MB of {memory_mb}, "
                f"{statuses.count(200)} answered, {statuses.count(503)} refused, "
                f"{count - statuses.count(200) - statuses.count(503)} closed")


async def run(options):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    for size in SIZES:
        for count in COUNTS:
            print(await measure(options.program.resolve(), options.memory_mb, count, size), flush=True)


def main():
    parser = argparse.ArgumentParser(prog="clients.memory")
    parser.add_argument("--program", type=pathlib.Path, required=True)
    parser.add_argument("--memory-mb", type=int, default=260)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
