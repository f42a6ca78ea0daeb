"""RECOVER: a replica is lost for good; later the primary crashes for five
seconds and comes back with its log; at the end all processes are killed."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import Client, now, run_case  # noqa: E402

RECOVER_S = 12
CRASH_S = 5
DOWN_S = 1.2


async def request(world, n, results):
    """One request; it is tried three times at most, each time at another
    front machine."""
    sent = now()
    database, text = [("orders", "WRITE i%d 1" % n), ("orders", "READ i1"), ("levels", "READ i1")][n % 3]
    good = False
    for host in random.sample(world.entries, 3):
        c = await Client.open(world, host, database, 1.0)
        if c is None:
            continue
        answer = await c.ask(text, 1.5)
        c.close()
        good = answer[0] == "DONE"
        if good or text.startswith("WRITE") and answer[0] == "NONE":
            break
    results.append((sent, good))


async def traffic(world, results, stop):
    """20 requests a second."""
    n, tasks = 0, []
    while not stop.is_set():
        n += 1
        tasks.append(asyncio.ensure_future(request(world, n, results)))
        await asyncio.sleep(1 / 20)
    await asyncio.gather(*tasks)


async def case(world, trouble):
    await world.start(["za", "zb", "zc"])
    await world.up([("orders", "primary"), ("levels", "read_your_writes")])
    group, results, stop = world.group, [], asyncio.Event()
    sender = asyncio.ensure_future(traffic(world, results, stop))
    await asyncio.sleep(3)
    if trouble:
        world.record.add("db3, a replica, is lost for good")
        await group.db("db3").stop()
    await asyncio.sleep(9)
    if trouble:
        world.record.add("db1, the primary, crashes for %d s" % CRASH_S)
        await group.db("db1").stop()
    await asyncio.sleep(CRASH_S)
    if trouble:
        await group.db("db1").start()
    await asyncio.sleep(4)
    for d in group.dbs:
        world.record.add("%s is %s, as %s, with %s" % (
            d.id, "up" if d.up else "down", d.role, d.position()))

    world.record.add("final fault: all processes are killed")
    fault = now()
    for h in world.hosts:
        h.signal(signal.SIGKILL)
    for h in world.hosts:
        h.process.wait()
    await asyncio.sleep(DOWN_S)
    for h in world.hosts:
        h.start()
    back = now()
    await asyncio.sleep(RECOVER_S + 6)
    stop.set()
    await sender
    before = [good for sent, good in results if sent < fault]
    after = [good for sent, good in results if sent > back + RECOVER_S]
    result = "before the final fault: %d of %d served; later than %d s after the machines were back: %d of %d" % (
        sum(before), len(before), RECOVER_S, sum(after), len(after))
    world.record.add(result)
    print(result)
    if 4 * sum(before) < len(before):
        raise RuntimeError("less than a quarter was served before")
    return 4 * sum(after) < len(after)


run_case(HERE, case)
