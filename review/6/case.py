"""Entries of another writer that name no service in force take working servers out for good.

Two gateways, one service with three servers, steady clients. Another writer puts one entry for each
server's address, under a service that no configuration names. Then the final fault: both gateways
are killed at the same moment and started again. Judged: what is served later than `recovery_s`
after they are back.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import stand_ins_2 as s

RECOVERY_S = s.BOUNDS["recovery_s"]


async def case(record, gateway):
    store = s.Store(record)
    await store.start()
    servers = [s.Server(store, record, f"i-{n}", "cards", "z-a", lambda _: 0.02) for n in range(3)]
    for server in servers:
        await server.start()
    routes = [s.route("r-cards", "/cards/", "safe", 2000, 200, service="cards")]
    store.put("config", "main", s.configuration(7, routes, ["cards"]))
    a, b = gateway("front-1"), gateway("front-2", "z-b")
    a.start(store, [b])
    b.start(store, [a])
    await asyncio.gather(a.until_ready(), b.until_ready())

    results, asking = [], True

    async def client(name, where):
        one = s.Client(record, name, where)
        while asking:
            results.append(await one.ask(f"/cards/{name}", 2000))
            await asyncio.sleep(0.1)
        one.close()

    clients = [asyncio.create_task(client(f"c{n}", (a, b)[n % 2])) for n in range(6)]
    await asyncio.sleep(6)
    if any(result["status"] != 200 for result in results) or not results:
        raise s.CannotRun("requests failed before the disruption")

    if s.troubled():
        record.say("another writer puts entries of the service inventory", show=True)
        for server in servers:
            store.put("servers", f"asset-{server.name}", server.spec() | {"service": "inventory"})
    await asyncio.sleep(1)
    # The final fault strikes right after a configuration was acknowledged.
    store.put("config", "main", s.configuration(8, routes, ["cards"]))
    struck = record.now()
    record.say("final fault: both gateways are killed", show=True)
    for one in (a, b):
        one.signal(signal.SIGKILL)
        one.process.wait()
    await asyncio.sleep(1)
    a.start(store, [b])
    b.start(store, [a])
    await asyncio.gather(a.until_ready(), b.until_ready())
    back = record.now()
    await asyncio.sleep(RECOVERY_S + 8)
    asking = False
    await asyncio.gather(*clients)

    def served(some):
        return sum(result["status"] == 200 for result in some)

    before = [result for result in results if result["ended"] < struck]
    after = [result for result in results if result["sent"] > back + RECOVERY_S]
    record.say(f"served before the final fault {served(before)} of {len(before)}; later than "
               f"{RECOVERY_S} s after the gateways were back {served(after)} of {len(after)}; all "
               f"{len(servers)} servers ran all the while", show=True)
    if not after or served(before) * 4 < len(before):
        raise s.CannotRun("too little was served before the final fault")
    if served(after) * 4 < len(after):
        return [f"RECOVER: {served(after)} of {len(after)} requests were served later than "
                f"{RECOVERY_S} s after the gateways were back"]
    return []


s.play(HERE, case)
