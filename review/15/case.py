"""The operator takes the last tenant with its keys out of the configuration."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from stand import CONFIG_APPLY, TROUBLE, Engine, Requester, Stand, route, run, service, wire  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
NEVER = "zzzzzzzzzzzzzzzzzzzz"
runs = []


class App(Engine):
    async def work(self, request, attempt, reader, writer):
        runs.append((self.stand.now(), attempt))
        self.stand.log(f"{self.id} runs {attempt}, Tenant {request.fields.get('tenant')}")
        return await super().work(request, attempt, reader, writer)


async def main(stand: Stand):
    await stand.prepare(nodes=2)
    routes = [route("/book/", "unsafe", "app", **{"max-attempts": 1, "timeout-ms": 3000})]
    services = [service("app", **{"max-connections": 100})]
    stand.write_config(routes, services, [{"name": "hule930", "api-keys": [KEY]}])
    engines = [App(stand, "app", slots=6) for _ in range(3)]
    for it in engines:
        await it.start()
    await stand.ready()
    await asyncio.sleep(3.0)

    async def ask(key, n):
        out = []
        for node in stand.nodes:
            requester = Requester(stand, node)
            attempt = f"{n}{node.name[-1]}"
            status, _, _ = await requester.send("POST", f"/book/{n}", (), b"book", 3.0, key, attempt)
            stand.log(f"request {attempt} with key {key} at {node.name}: status {status}")
            requester.close()
            out.append((attempt, status))
        return out

    before = await ask(KEY, "aa") + await ask(NEVER, "bb")
    if [s for _, s in before] != [200, 200, 401, 401]:
        raise RuntimeError(f"unexpected: {before}")
    if TROUBLE:
        stand.write_config(routes, services, [])
        await asyncio.sleep(CONFIG_APPLY + 1.0)
    late = stand.now()
    dropped = await ask(KEY, "cc")
    never = await ask(NEVER, "dd")
    wrong = [a for a, s in never if any(a == r for _, r in runs)]
    if TROUBLE:
        wrong += [a for a, s in dropped if any(a == r for _, r in runs)]
    stand.log(f"ran though no configuration in force holds their key: {wrong}")
    return bool(wrong)


run(main, __file__)
