"""A node: the real daemon as a process, its settings rendered from the deploy template."""

import asyncio
import pathlib
import re
import signal

from .link import Link

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Below what a VM has, so that few large bodies are more than the node may hold.
MEMORY_MB = 128
GRACE = 8.0
# A node that starts reads configuration and servers first.
START_TIME = 1.0


class Node:
    def __init__(self, world, name, zone, port):
        self.world, self.name, self.zone = world, name, zone
        self.port = port
        self.caller_port, self.ready_port = port + 1, port + 2
        self.entry_port, self.admin_port = port + 3, port + 4
        self.generation = 0
        self.process = None
        self.stopping = False
        self.peak_mb = 0
        self.is_too_large = False

    @property
    def address(self):
        return f"127.0.0.1:{self.caller_port}"

    async def prepare(self):
        """Opens the links through which the node reaches the store and others reach it."""
        self.peer_link = await Link.start(self.port)
        self.store_link = await Link.start(await self.world.store.listen(self.name))
        self.duty_link = await Link.start(self.world.duty_port)

    def settings(self):
        values = {
            "node-name": self.name, "region": "r", "zone": self.zone, "ip": "127.0.0.1",
            "port-range.0": str(self.admin_port),
            "listeners-map.control-plane": f"127.0.0.1:{self.port}",
            "listeners-map.frontend": self.address,
            "listeners-map.ready": f"127.0.0.1:{self.ready_port}",
            "listeners-map.directory-service": f"127.0.0.1:{self.entry_port}",
            "seed-nodes": ",".join(f"127.0.0.1:{it.peer_link.port}"
                                   for it in self.world.nodes[:3]),
            "platform.address": f"127.0.0.1:{self.store_link.port}",
            "cloud-api.address": f"127.0.0.1:{self.duty_link.port}",
            "bounds.grace-s": "8", "bounds.lease-ms": "3000", "bounds.usage-window-s": "5",
            "bounds.retry-slack": str(self.world.retry_slack), "bounds.retry-window-s": "10",
        }
        text = (ROOT / "deploy/node.ini.template").read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m.group(1)], text)
        return text.replace("[membership]",
                            f"peer_advertise = 127.0.0.1:{self.peer_link.port}\n\n[membership]")

    async def start(self):
        self.generation += 1
        path = self.world.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        log = (self.world.directory / f"{self.name}.log").open("a")
        span = self.world.ledger.begin(("node", self.name))
        self.process = await asyncio.create_subprocess_exec(
            str(self.world.program), "--settings", str(path),
            *[word for it in self.world.extra_settings.items() for word in ("--set", "%s=%s" % it)],
            stdout=log, stderr=log)
        log.close()
        self.stopping = False
        asyncio.get_running_loop().call_later(START_TIME, self.world.ledger.end, span)
        asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        status = await process.wait()
        if process is self.process and not self.stopping and not self.world.closing:
            self.world.ledger.violate("OWN END", f"{self.name} ended by itself, status {status}")
            self.stopping = True

    def measure(self):
        """Reads the peak of resident memory."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return
        peak = re.search(r"VmHWM:\s+(\d+)", status)
        if peak:
            self.peak_mb = max(self.peak_mb, int(peak.group(1)) * 1024 // 1_000_000)
        if self.peak_mb > MEMORY_MB and not self.is_too_large:
            self.is_too_large = True
            self.world.ledger.violate("MEMORY", f"{self.name}: {self.peak_mb} MB")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.stopping = True
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """SIGTERM, and SIGKILL after the grace time."""
        self.stopping = True
        begun = self.world.now()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE)
        except asyncio.TimeoutError:
            if self.world.ledger.in_touch(self.name, begun):
                self.world.ledger.violate("STOP", f"{self.name} runs {GRACE} s after SIGTERM")
            await self.kill()
