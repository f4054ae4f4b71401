"""Throughput of ordinary requests alone and beside clients outside the limits. Usage, in tools/lib:
    python3 -m clients.throughput --program FILE [--seconds N] [--core-share X]

A node in the platform's form gets requests of 1,000 bytes from CALLERS callers, each of which sends
the next one after the answer. Measured in turn: alone, beside clients that are connected and have
sent what they send, and beside clients that send it again and again; alone also after each of them.
A node on a VM has a part of a core: --core-share stops the node's process for the rest of each
PERIOD, so that the node and not the stand-ins is what limits the throughput. Each line names the
processor time that the node has used. Not a test: figures depend on the machine.
"""

import argparse
import asyncio
import json
import os
import pathlib
import signal
import sys
import threading
import time

from soak import wire

from . import kinds
from .stand import Clients, Stand

# Enough that a node with a tenth of a core is what limits them.
CALLERS = 256
MEMORY_MB, DESCRIPTORS = 260, 3075
# As the scheduler of a VM with a quota divides the time.
PERIOD = 0.1
WARM_UP = 4.0
REQUIRED = 0.9


class Throttle:
    """Lets a process run for a part of each PERIOD only."""

    def __init__(self, pid, share):
        self.pid, self.share, self.over = pid, share, threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        if share < 1:
            self.thread.start()

    def _run(self):
        while not self.over.is_set():
            os.kill(self.pid, signal.SIGCONT)
            time.sleep(self.share * PERIOD)
            os.kill(self.pid, signal.SIGSTOP)
            time.sleep((1 - self.share) * PERIOD)

    def stop(self):
        self.over.set()
        if self.thread.is_alive():
            self.thread.join()
        os.kill(self.pid, signal.SIGCONT)


def processor_seconds(pid):
    # /proc/PID/stat counts ticks, which a process misses that is stopped in step with them.
    return int(pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def call_repeatedly(stand, count):
    """An ordinary caller on one kept connection, opened again when it ends."""
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", stand.front)
            while True:
                writer.write(wire.request("POST", "/short/t", stand.fields(), b"x" * 1000))
                answer = await wire.read_message(reader)
                if answer is None:
                    break
                count[answer.status] = count.get(answer.status, 0) + 1
        except (OSError, wire.BrokenMessage):
            count[0] = count.get(0, 0) + 1
            await asyncio.sleep(0.05)
        finally:
            if writer is not None:
                wire.abort(writer)


async def measure(name, stand, count, seconds):
    before, used, begin = dict(count), processor_seconds(stand.process.pid), time.monotonic()
    await asyncio.sleep(seconds)
    took = time.monotonic() - begin
    done = {key: value - before.get(key, 0) for key, value in count.items()}
    cores = (processor_seconds(stand.process.pid) - used) / took
    rate = done.get(200, 0) / took
    others = {key: value for key, value in done.items() if key != 200 and value}
    print(f"  {name:28} {rate:7.0f} requests/s, {cores:.3f} cores of the node"
          + (f", other statuses {others}" if others else ""), flush=True)
    return rate


async def start_crowd(stand, kind, repeats):
    """Clients outside the limits, in a process of their own."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "clients.throughput", "--crowd", json.dumps(stand.ports), "--kind", kind,
        *(["--repeats"] if repeats else []), stdin=asyncio.subprocess.DEVNULL)


async def play_crowd(ports, kind, repeats):
    stand = Clients(ports)
    while True:
        writers = []
        try:
            writers = await kinds.KINDS[kind](stand)
            while not repeats:
                await asyncio.sleep(1.0)
        except OSError:
            # The node has closed a connection that was being opened.
            await asyncio.sleep(0.1)
        for it in writers:
            wire.abort(it)


async def run(options):
    async with Stand(options.program.resolve(), memory_mb=MEMORY_MB,
                     descriptors=DESCRIPTORS) as stand:
        count = {}
        callers = [asyncio.create_task(call_repeatedly(stand, count)) for _ in range(CALLERS)]
        throttle = Throttle(stand.process.pid, options.core_share)
        print(f"  node with {options.core_share:g} of a core, {CALLERS} callers:", flush=True)
        try:
            await asyncio.sleep(WARM_UP)
            alone, beside = [await measure("alone", stand, count, options.seconds)], []
            for name, repeats in (("beside connected clients", False),
                                  ("beside sending clients", True)):
                crowd = await start_crowd(stand, options.kind, repeats)
                await asyncio.sleep(WARM_UP if repeats else options.settle)
                beside.append(await measure(name, stand, count, options.seconds))
                crowd.kill()
                await crowd.wait()
                await asyncio.sleep(options.settle)
                alone.append(await measure("alone", stand, count, options.seconds))
        finally:
            throttle.stop()
            for it in callers:
                it.cancel()
        parts = [it / ((alone[i] + alone[i + 1]) / 2) for i, it in enumerate(beside)]
        print("  part of the throughput alone before and after: connected %.2f, sending %.2f "
              "(required %.2f)" % (*parts, REQUIRED), flush=True)


def main():
    parser = argparse.ArgumentParser(prog="clients.throughput")
    parser.add_argument("--program", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--settle", type=float, default=10.0,
                        help="time in which clients send what they send, or what is left of it is read")
    parser.add_argument("--core-share", type=float, default=1.0)
    parser.add_argument("--kind", choices=sorted(kinds.KINDS), default="all_at_once")
    parser.add_argument("--crowd", type=json.loads, help=argparse.SUPPRESS)
    parser.add_argument("--repeats", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.crowd:
        asyncio.run(play_crowd(options.crowd, options.kind, options.repeats))
        return

    async def quietly():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await run(options)
    asyncio.run(quietly())


if __name__ == "__main__":
    main()
