"""Clients outside the limits against a real node. Usage, in tools/lib:
    python3 -m clients KIND --program build/release/packages/daemon/chervilcoursed

Each kind checks only what does not depend on the speed of the machine: the process lives, its peak
of resident memory stays within edge.memory_mb and its descriptors within edge.max_descriptors, and
one ordinary request is answered afterwards, while the clients are still connected. The number of
clients and the bounds were fixed on the code without a memory budget, which exceeded them, those
of listener_peers and idle_everywhere on the code that did not bound connections of other nodes.
Exit status: 0 if all of it holds, 1 otherwise.
"""

import argparse
import asyncio
import contextlib
import pathlib
import sys

from soak import wire

from .kinds import KINDS
from .listeners import DESCRIPTORS_EVERYWHERE, LISTENERS, idle_everywhere
from .stand import DESCRIPTORS, MEMORY_MB, Stand

# Time in which the node takes what the clients have sent; the outcome does not depend on it.
SETTLE = 2.0
ALL = {**KINDS, **LISTENERS}


async def play(kind, program):
    # The stand-ins' connections are cut at the end, which asyncio would report.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    descriptors = DESCRIPTORS_EVERYWHERE if ALL[kind] is idle_everywhere else DESCRIPTORS
    async with Stand(program, descriptors=descriptors) as stand:
        writers, faults = [], []
        try:
            writers = await ALL[kind](stand)
        except AssertionError as e:
            faults.append(str(e))
        await asyncio.sleep(SETTLE)
        answered = await stand.ask_until_answered("/short/ordinary") == 200
        if not stand.alive():
            faults.append(f"the process ended, status {stand.process.returncode}")
        else:
            peak = stand.peak_mb()
            print(f"{kind}: peak {peak:.0f} MB of {MEMORY_MB}, descriptors "
                  f"{stand.most_descriptors} of {descriptors}, ordinary request "
                  f"{'answered' if answered else 'not answered'}", flush=True)
            if peak > MEMORY_MB:
                faults.append(f"peak memory {peak:.0f} MB, {MEMORY_MB} MB allowed")
            if stand.most_descriptors > descriptors:
                faults.append(f"{stand.most_descriptors} descriptors, {descriptors} allowed")
        if not answered:
            faults.append("an ordinary request was not answered")
        for it in writers:
            with contextlib.suppress(OSError):
                wire.abort(it)
        for it in faults:
            print(f"{kind}: FAILED: {it}", flush=True)
        return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(prog="clients")
    parser.add_argument("kind", choices=sorted(ALL))
    parser.add_argument("--program", type=pathlib.Path, required=True)
    options = parser.parse_args()
    sys.exit(asyncio.run(play(options.kind, options.program.resolve())))


main()
