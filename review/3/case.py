"""Fault: another writer sends a ping whose address can't be used."""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import Client, http, now, run_case  # noqa: E402

ADDRESS = "[fe80::1%nic9]:8167"  # no such network card here
RESTART_S = 0.5
SPAN_S = 20


async def writer(world):
    """Another writer: three entries, one in each zone, a ping each 1.2 s."""
    ping = {"serviceName": "stock", "address": ADDRESS, "zone": "za", "version": "v1",
            "capacity": 2, "state": "ready", "coldRemainingMs": 0, "dbRole": "replica",
            "sequence": 0, "born": int(time.time() * 1000)}
    while True:
        ping["sequence"] += 1
        for zone in world.ZONES:
            ping["zone"] = zone
            body = json.dumps(ping)
            host = random.choice(world.controls)
            status, _ = await http("POST", host.control_address(),
                                   "/api/instances/i-other-%s/heartbeat" % zone, body)
            world.record.add("another writer sends %s to %s: %d" % (body, host.name, status))
        await asyncio.sleep(1.2)


async def watch(world, ends):
    """Starts a process that has ended by itself again, after a short delay."""
    async def one(host):
        while True:
            code = host.process.poll()
            if code is None:
                await asyncio.sleep(0.05)
                continue
            ends.setdefault(host.name, []).append(code)
            world.record.add("%s ends by itself, status %d" % (host.name, code))
            await asyncio.sleep(RESTART_S)
            host.start()

    await asyncio.gather(*[one(h) for h in world.hosts])


async def case(world, trouble):
    await world.start(["za", "zb", "zc"])
    await world.up([("orders", "primary")])
    ends, tasks = {}, []
    tasks.append(asyncio.ensure_future(watch(world, ends)))
    await asyncio.sleep(2)
    if trouble:
        tasks.append(asyncio.ensure_future(writer(world)))
    served = asked = 0
    stop = now() + SPAN_S
    while now() < stop:
        asked += 1
        c = await Client.open(world, random.choice(world.entries), "orders", 1.0)
        if c is not None:
            answer = await c.ask("WRITE a %d" % asked, 1.5)
            c.close()
            served += answer[0] == "DONE"
        await asyncio.sleep(0.1)
    for t in tasks:
        t.cancel()
    # A tenth of the machines in use, two at least, three times each.
    often = [name for name, codes in ends.items() if len(codes) >= 3]
    result = "%d of %d requests served; processes that ended by themselves: %s" % (
        served, asked, ", ".join("%s %d times" % (n, len(c)) for n, c in sorted(ends.items())) or "none")
    world.record.add(result)
    print(result)
    return len(often) >= max(2, (len(world.hosts) + 9) // 10)


run_case(HERE, case)
