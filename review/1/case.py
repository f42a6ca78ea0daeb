"""LOST: a primary is replaced (release) while it is partitioned from its
replicas (primary_cut).  The new database receives its commits alone."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import Client, now, run_case  # noqa: E402

CUT_S = 5.0


async def client(world, host, number, database, words, acknowledged, stop):
    """Asks WORDS again and again, in a session of its own."""
    c, n = None, 0
    while not stop.is_set():
        if c is None:
            c = await Client.open(world, host, database)
            if c is None:
                await asyncio.sleep(0.2)
                continue
        n += 1
        answer = await c.ask(words % {"item": "i%d" % number, "n": n})
        if answer[0] == "DONE" and words.startswith("WRITE"):
            acknowledged.append((now(), answer[3]))
        if answer[0] == "NONE":
            c.close()
            c = None
        await asyncio.sleep(0.05)
    if c is not None:
        c.close()


async def case(world, trouble):
    await world.start(["za", "zb", "zc"])
    await world.up([("orders", "primary"), ("levels", "read_your_writes")])
    group, stop, acknowledged, lost = world.group, asyncio.Event(), [], []
    for d in group.dbs:
        d.work = {"READ": 0.015}

    def promoted(db):
        have = {entry[1] for entry in db.log}
        for at, uid in acknowledged:
            if uid not in have:
                lost.append(uid)
                world.record.add("LOST: %s was acknowledged at %.3f and is not in the log of %s"
                                 % (uid, at, db.id))

    group.on_promoted = promoted
    clients = []
    for i in range(36):
        writes = i % 6 == 0
        clients.append(asyncio.ensure_future(client(
            world, world.entries[i % 3], i, "orders" if writes else "levels",
            "WRITE %(item)s %(n)d" if writes else "READ i0", acknowledged, stop)))
    await asyncio.sleep(2)

    # release: the new database starts first, the old one drains a second later.
    old = group.primary()
    others = [d for d in group.dbs if d is not old]
    if trouble:
        world.record.add("%s is cut off from its replicas for %.0f s" % (old.id, CUT_S))
        for d in others:
            group.cut.add(frozenset((old.id, d.id)))
        asyncio.get_running_loop().call_later(CUT_S, group.cut.clear)
    await asyncio.sleep(0.75)
    fresh = world.add_db("db4", "za")
    fresh.work = {"READ": 0.015}
    await fresh.start()
    await asyncio.sleep(1)
    old.state = "draining"
    await world.until("another database leads", 20, lambda: group.primary() not in (old, None))
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    result = "%d writes were acknowledged, %d are lost" % (len(acknowledged), len(lost))
    world.record.add(result)
    print(result)
    return bool(lost)


run_case(HERE, case)
