"""A planned stop cuts requests that the stopping gateway took late from kept connections.

Two gateways, one service of requests that may not be repeated and take two seconds. Clients keep
their connections and rest some seconds between two requests. One gateway gets SIGTERM. It goes on
taking requests from connections that rested, until 5.3 s after SIGTERM, and ends at 5.7 s.
Judged: requests that were read and passed on and whose connection closed without an answer.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import stand_ins_2 as s

GRACE_S = s.BOUNDS["grace_s"]
WORK_S = 2.0
CLIENTS = 40
# Well under four fifths of `idle_timeout_ms`, for which clients may let a connection rest.
RESTS_S = 6.0


async def case(record, gateway):
    store = s.Store(record)
    await store.start()
    servers = [s.Server(store, record, f"i-{n}", "reminders", "z-a", lambda _: WORK_S, slots=20)
               for n in range(3)]
    for server in servers:
        await server.start()
    routes = [s.route("r-reminders", "/reminders/", "unsafe", 10000, 4000, service="reminders")]
    store.put("config", "main", s.configuration(7, routes, ["reminders"]))
    a, b = gateway("front-1"), gateway("front-2", "z-b")
    a.start(store, [b])
    b.start(store, [a])
    await asyncio.gather(a.until_ready(), b.until_ready())

    results, asking = [], True

    async def client(number):
        await asyncio.sleep(number * (WORK_S + RESTS_S) / CLIENTS)
        one = s.Client(record, f"c{number}", a if number % 2 == 0 else b)
        while asking:
            where = one.gateway
            result = await one.ask(f"/reminders/{number}", 10000, method="POST", body=b"shift 17")
            result["gateway"] = where
            results.append(result)
            if one.writer is None and s.troubled():
                # The platform passes new connections to gateways that say they are ready.
                one.gateway = b
            await asyncio.sleep(RESTS_S)
        one.close()

    clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(14)
    if any(result["status"] != 200 for result in results) or not results:
        raise s.CannotRun("requests failed before the stop")
    stopped = record.now()
    if s.troubled():
        a.signal(signal.SIGTERM)
        record.say("front-1 gets SIGTERM", show=True)
    ends = stopped + GRACE_S
    while record.now() < ends and a.process.poll() is None:
        await asyncio.sleep(0.02)
    if a.process.poll() is not None:
        record.say(f"front-1 ended {record.now() - stopped:.2f} s after SIGTERM", show=True)
    elif s.troubled():
        a.signal(signal.SIGKILL)
    await asyncio.sleep(3)
    asking = False
    await asyncio.gather(*clients)

    arrivals = {arrival["id"]: arrival for server in servers for arrival in server.arrivals}
    lost = []
    for result in results:
        after = result["sent"] - stopped
        passed_on = result["id"] in arrivals
        if result["gateway"] is not a or result["status"] != 0 or not passed_on:
            continue
        # Excused: a request sent up to 3 s after SIGTERM, at work in the last sixth of `grace_s`.
        works_until = arrivals[result["id"]]["at"] + WORK_S - stopped
        if after <= 3 and works_until >= GRACE_S * 5 / 6:
            continue
        record.say(f"{result['id']}: sent {after:.2f} s after SIGTERM, passed on, closed without an "
                   f"answer at {result['ended'] - stopped:.2f} s", show=True)
        lost.append(result["id"])
    runs = [arrival["id"] for server in servers for arrival in server.arrivals if arrival["run"]]
    record.say(f"{len(results)} requests, {len(runs)} runs, {len(lost)} lost", show=True)
    return [f"LOST: {len(lost)} requests were read and passed on, and got no answer"] if lost else []


s.play(HERE, case)
