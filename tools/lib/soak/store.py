"""The platform's metadata store: items, leases, transactions and watches over HTTP.

Each node has its own listening port, so that the store can refuse single nodes.
"""

import asyncio
import base64
import json
import urllib.parse

from . import wire

PAGE = 50
# Copies from which the store may come back: how many, and the time between them.
COPIES = 30
COPY_PERIOD = 0.5


class Store:
    def __init__(self, world):
        self.world = world
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 1
        self.oldest = 1
        self.next_lease = 1
        self.changed = asyncio.Event()
        # "ok", "down" (503), "silent" (no answer) or "lose" (executed, then no answer), for all
        # nodes and for single ones.
        self.mode = "ok"
        self.node_modes = {}
        self.calls = {}
        # Rises by one each time that the store comes back from an older copy.
        self.era = 1
        self._copies = []

    async def listen(self, node):
        server = await asyncio.start_server(
            lambda r, w: self._serve(node, r, w), "127.0.0.1", 0, limit=wire.MAX_HEAD)
        return server.sockets[0].getsockname()[1]

    # Calls of other parts of the platform, which are not subject to faults of the network.

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(raw).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self._note(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note({"key": key, "revision": self.revision, "removed": True})

    def compact(self):
        """Forgets the history: watches that continue from it get 410."""
        self.history.clear()
        self.oldest = self.revision
        self._wake()

    def keep_copy(self):
        """Called often; keeps a copy now and then."""
        now = self.world.now()
        if not self._copies or now - self._copies[-1][0] >= COPY_PERIOD:
            self._copies.append((now, dict(self.items), {k: dict(v) for k, v in self.leases.items()},
                                 self.revision, self.next_lease))
            del self._copies[:-COPIES]

    def restore(self, age):
        """Comes back as it was `age` seconds ago. What operators and servers wrote since is written
        again, what the system wrote is gone."""
        newest = self.items
        older = [it for it in self._copies if it[0] <= self.world.now() - age] or self._copies[:1]
        taken, items, leases, self.revision, self.next_lease = older[-1]
        away = self.world.now() - taken
        self.items = dict(items)
        self.leases = {k: {**v, "ends": v["ends"] + away} for k, v in leases.items()}
        self._copies = [it for it in self._copies if it[0] <= taken]
        self.era += 1
        self.history.clear()
        self.oldest = self.revision
        outside = lambda key: key.startswith(("op/", "servers/"))
        for key in [k for k in self.items if outside(k) and k not in newest]:
            self.remove(key)
        for key in [k for k in newest if outside(k) and newest[k] != self.items.get(k)]:
            self.put(key, base64.b64decode(newest[key]["value"]))
        self._wake()

    def expire_leases(self):
        for lease in [n for n, it in self.leases.items() if it["ends"] <= self.world.now()]:
            self._end_lease(lease)

    def _note(self, event):
        self.history.append(event)
        if len(self.history) > 5000:
            self.oldest = self.history[1000]["revision"]
            del self.history[:1000]
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self.remove(key)

    async def _serve(self, node, reader, writer):
        try:
            while (r := await wire.read_message(reader)) is not None:
                mode = self.node_modes.get(node, self.mode)
                if mode == "silent":
                    await asyncio.sleep(30)
                    break
                if mode == "down":
                    answer = (503, {})
                else:
                    answer = await self._answer(r)
                if mode == "lose" and r.method == "POST":
                    # The channel returns nothing further.
                    await asyncio.sleep(30)
                    break
                writer.write(self.encode(*answer))
                await writer.drain()
        except (wire.BrokenMessage, OSError):
            pass
        wire.abort(writer)

    def encode(self, status, document):
        """Bytes of an answer."""
        fields = {"Content-Type": "application/json", "Store-Era": self.era}
        return wire.response(status, fields, json.dumps(document).encode())

    async def _answer(self, r):
        url = urllib.parse.urlsplit(r.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        self.calls[url.path.split("/")[1]] = self.calls.get(url.path.split("/")[1], 0) + 1
        self.expire_leases()
        self.keep_copy()
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as-of": self.revision})
        if url.path == "/kv-range":
            return 200, self._range(query["path-prefix"], query.get("after", ""))
        if url.path == "/kv-watch":
            return await self._watch(query["path-prefix"], int(query["after"]),
                                     int(query["wait-ms"]) / 1000)
        if url.path == "/kv-txn":
            return self._txn(json.loads(r.body))
        if url.path == "/kv-lease":
            ttl = json.loads(r.body)["ttl-ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = {"ttl": ttl / 1000, "ends": self.world.now() + ttl / 1000}
            return 200, {"lease": lease, "ttl-ms": ttl}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if url.path.startswith("/kv-keep/"):
            self.leases[lease]["ends"] = self.world.now() + self.leases[lease]["ttl"]
        else:
            self._end_lease(lease)
        return 200, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {"items": [self.items[k] for k in keys[:PAGE]], "has-more": len(keys) > PAGE,
                "as-of": self.revision}

    async def _watch(self, prefix, after, wait):
        end = self.world.now() + wait
        while True:
            if (after < self.oldest and self.oldest > 1) or after > self.revision:
                return 410, {}
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - self.world.now()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        held = lambda key: self.items.get(key, {"revision": 0})
        conditions = body.get("expected-revision", [])
        if any(held(it["key"])["revision"] != it["revision"] for it in conditions):
            return 412, {"items": [self.items[it["key"]] for it in conditions
                                   if it["key"] in self.items]}
        writes = body.get("writes", [])
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in writes):
            return 404, {}
        if any(it["key"].startswith(("op/", "servers/")) for it in writes):
            return 403, {}
        for it in writes:
            self.put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
