"""Mixed crowds of clients outside the limits against a node of a VM's size. Usage, in tools/lib:
    python3 -m clients.mixed --program FILE [--memory-mb N]...

Plays all kinds at once, at all listeners, with as many bodies as exceed the memory, in two rounds:
in the second one the clients of the first are still connected. By hand, not in CI. Checked as in
__main__.py: the process lives within its memory and descriptors, and one ordinary request is
answered afterwards. Exit status: 0 if that holds for all sizes, 1 otherwise.
"""

import argparse
import asyncio
import pathlib
import sys

from soak import wire

from . import kinds, listeners
from .stand import MAX_BODY, Stand

SIZES_MB = (160, 260, 512)
# Descriptors of the smallest VMs.
DESCRIPTORS = 3075
ROUNDS, SETTLE = 2, 2.0


async def crowd(stand, memory_mb):
    bodies = memory_mb * 1_000_000 // MAX_BODY
    parts = [
        kinds.endless_trailers(stand), kinds.stopped_bodies(stand, 65536, bodies),
        kinds.stopped_bodies(stand, 8, bodies // 4), kinds.announced_too_long(stand),
        kinds.slow_heads(stand), kinds.slow_readers(stand)]
    for port in (stand.entry, stand.ready, stand.admin):
        parts += [listeners.endless_heads(stand, port, listeners.HttpListener),
                  listeners.large_lengths(stand, port, listeners.HttpListener),
                  listeners.idle(stand, port, listeners.HttpListener)]
    parts += [listeners.endless_heads(stand, stand.peer, listeners.PeerListener),
              listeners.slow_heads(stand, stand.peer, listeners.PeerListener),
              listeners.large_lengths(stand, stand.peer, listeners.PeerListener)]
    groups = await asyncio.gather(*parts, return_exceptions=True)
    # A connection that is refused is no fault.
    for it in groups:
        if isinstance(it, BaseException) and not isinstance(it, (OSError, asyncio.TimeoutError)):
            raise it
    return [writer for it in groups if isinstance(it, list) for writer in it]


async def play(program, memory_mb):
    async with Stand(program, memory_mb=memory_mb, descriptors=DESCRIPTORS) as stand:
        writers = []
        for _ in range(ROUNDS):
            writers += await crowd(stand, memory_mb)
            await asyncio.sleep(SETTLE)
        status = await stand.ask_until_answered("/short/ordinary")
        lives = stand.alive()
        peak = stand.peak_mb() if lives else 0
        print(f"{memory_mb} MB: {'alive' if lives else 'ENDED'}, peak {peak:.0f} MB, descriptors "
              f"{stand.most_descriptors} of {DESCRIPTORS}, {len(writers)} clients, ordinary request "
              f"{'answered' if status == 200 else 'NOT ANSWERED'}", flush=True)
        for it in writers:
            wire.abort(it)
        return (lives and peak <= memory_mb and stand.most_descriptors <= DESCRIPTORS
                and status == 200)


async def run(options):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    results = [await play(options.program.resolve(), it) for it in options.memory_mb or SIZES_MB]
    return 0 if all(results) else 1


def main():
    parser = argparse.ArgumentParser(prog="clients.mixed")
    parser.add_argument("--program", type=pathlib.Path, required=True)
    parser.add_argument("--memory-mb", type=int, action="append")
    sys.exit(asyncio.run(run(parser.parse_args())))


main()
