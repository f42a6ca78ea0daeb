"""A session whose route went to another service and back no longer sees its own write."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from rig import *

ITEM = "1a4"
LAG_S = 3.6  # replicas, 60 times the usual 60 ms


async def case(rig):
    def manifest(version, service):
        return rig.manifest(version, [("margin", "read_your_writes", service, {}),
                                      ("one", "primary", "formcost", {}), ("two", "primary", "ledger", {})])
    await rig.start(manifest(1, "formcost"))
    entry = rig.entries[0]
    for name in ("margin", "one", "two"):
        async def reads():
            return await rig.served(entry, name, "READ " + ITEM)
        await rig.eventually(20, name + " is not served", reads)
    if TROUBLE:
        for d in rig.services["formcost"].databases:
            d.lag = LAG_S
        rig.record.add("replicas apply", LAG_S, "s late")
    client = await Client(rig, entry, "margin").open()
    for _ in range(5):
        await client.query("READ " + ITEM)
        await asyncio.sleep(0.3)
    lines = await client.query("WRITE %s mine" % ITEM)
    if not lines[-1].startswith("DONE p."):
        raise CantRun("the write was not acknowledged")
    acknowledged = time.monotonic()
    if TROUBLE:
        await rig.replace(manifest(2, "ledger"))
        await asyncio.sleep(0.35)
        await client.query("READ " + ITEM)
        await rig.replace(manifest(3, "formcost"))
        await asyncio.sleep(0.35)
    else:
        await asyncio.sleep(0.8)
    reads = stale = 0
    ran = rig.services["formcost"].runs
    while time.monotonic() < acknowledged + 3.0:
        lines = await client.query("READ " + ITEM)
        if lines[-1] == "DONE p." + client.last_id and any(r[1] == client.last_id for r in ran):
            reads += 1
            stale += lines[0] != "ROW mine"
        await asyncio.sleep(0.02)
    rig.record.add("reads", reads, "without the session's own write", stale)
    if reads == 0:
        raise CantRun("no read was served")
    return stale == 0


main(case, controls=3, entries=3, services=["formcost", "ledger"])
