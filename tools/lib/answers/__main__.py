"""Broken answers against real nodes. Usage, in tools/lib:
    python3 -m answers KIND --program build/release/packages/daemon/chervilcoursed

Servers answer the first arrival of each request as a case of cases.py says, and all others soundly.
Each case is played on each kind of route. Checked, from the bytes that clients receive: a broken
answer, or a part of one, never passes for an answer; a request that may not be repeated reaches one
server and is not answered as not run; a sound answer arrives whole. Then the answers of the
platform's store are broken for a time: the node keeps its configuration and servers.

The kinds that begin with workspace_ play the cases before the nodes of an example deployment, which
call an application service. Exit status: 0 if all of it holds, 1 otherwise.
"""

import argparse
import asyncio
import pathlib
import sys

from .cases import CASES, STORE_CASES
from .reply import NoAnswer
from .stand import Stand
from .store import LATER_ERA
from .workspace import WorkspaceStand

WORKSPACE = "workspace_"
# Seconds for which the store answers as one case says; longer than its lists are waited for.
STORE_TIME = 1.5


def faults_of(stand, prefix, case, reply, id):
    arrivals, may_repeat = stand.servers.arrivals[id], stand.routes[prefix]
    if not arrivals:
        return [f"reached no server: {reply}"]
    out = []
    if not may_repeat and len(arrivals) > 1:
        out.append(f"ran {len(arrivals)} times")
    if not may_repeat and stand.says_not_run(reply):
        out.append(f"was answered {reply.status}, but had run")
    if reply.status == 200 and reply.is_whole:
        body = stand.servers.sound(prefix, id, "").body
        if reply.body != body:
            out.append(f"a body of {len(reply.body)} bytes instead of {len(body)}")
        if not stand.is_marked(reply, prefix, id):
            out.append("another server's mark, or none")
        if len(arrivals) == 1 and not case.is_sound:
            out.append("a broken answer passed for one")
    elif case.is_sound and (stand.keeps_early_answers or not case.is_early):
        out.append(f"a sound answer did not arrive: {reply}")
    elif reply.is_whole and stand.is_marked(reply, prefix, id):
        out.append(f"status {reply.status} with a server's mark")
    return out


async def play_case(stand, prefix, case):
    name = f"{prefix}, {case.name}"
    try:
        reply, id = await stand.exchange(prefix, case)
    except NoAnswer as e:
        return [f"{name}: {e}"]
    return [f"{name}, request {id}: {it}" for it in faults_of(stand, prefix, case, reply, id)]


async def play_servers(kind, stand):
    """Each case of a kind on each kind of route, some at a time. Returns the number of requests and
    the faults found."""
    free = asyncio.Semaphore(stand.at_a_time)

    async def play_one(prefix, case):
        async with free:
            return await play_case(stand, prefix, case)
    cases = [it for it in CASES[kind] if stand.plays_variants or not it.is_variant]
    found = await asyncio.gather(*[play_one(prefix, case) for case in cases
                                   for prefix in stand.routes])
    return len(found), [it for faults in found for it in faults]


async def play_store(kind, stand):
    """Broken answers of the store: the node keeps what it knows, and follows the store again."""
    out = []
    for stand.store.broken in STORE_CASES.get(kind, []):
        begin = stand.now()
        while stand.now() - begin < STORE_TIME:
            status = await stand.ask("/short/x")
            if status != 200:
                out.append(f"store, {stand.store.broken}: a request was answered {status}")
            await asyncio.sleep(0.05)
    stand.store.broken = None
    if any(it["event"] == "era" and it["era"] == str(LATER_ERA) for it in stand.log()):
        out.append("store: the era of a broken answer was taken")
    stand.configure(2, ["/added/"])
    if await stand.ask_until_answered("/added/x") != 200:
        out.append("store: a later configuration is not in force")
    return out


async def play(kind, program):
    # The stand-ins' connections are cut at the end, which asyncio would report.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    in_workspace = kind.startswith(WORKSPACE)
    cases = kind.removeprefix(WORKSPACE)
    async with (WorkspaceStand if in_workspace else Stand)(program) as stand:
        requests, faults = await play_servers(cases, stand)
        if not in_workspace:
            faults += await play_store(cases, stand)
        if not stand.alive():
            faults.append("a process ended")
        elif await stand.ask_until_answered("/short/ordinary") != 200:
            faults.append("an ordinary request is not answered")
    for it in faults:
        print(f"{kind}: FAILED: {it}", flush=True)
    print(f"{kind}: {requests} requests, {len(faults)} faults", flush=True)
    return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(prog="answers")
    parser.add_argument("kind", choices=sorted([*CASES, *(WORKSPACE + it for it in CASES)]))
    parser.add_argument("--program", type=pathlib.Path, required=True)
    options = parser.parse_args()
    sys.exit(asyncio.run(play(options.kind, options.program.resolve())))


main()
