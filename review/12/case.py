"""A replica that started again without its log is counted as a copy, and acknowledged writes are lost."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from rig import *

DARK_S = 7.0  # how long the primary is down
WRITES = 20


async def case(rig):
    service = rig.services["formcost"]
    await rig.start(rig.manifest(1, [("batch", "primary", "formcost", {})]))
    entry = rig.entries[0]

    async def writes():
        return await rig.served(entry, "batch", "WRITE 1a4 first")
    await rig.eventually(20, "no write is served", writes)
    primary, replica, deaf = service.databases
    if TROUBLE:
        deaf.deaf = True
        rig.record.add("receives nothing", deaf.id)
    client = await Client(rig, entry, "batch").open()
    acknowledged = []
    for i in range(WRITES):
        lines = await client.query("WRITE post%d paid%d" % (i, i))
        if lines[-1].startswith("DONE p."):
            acknowledged.append(("post%d" % i, "paid%d" % i))
    if len(acknowledged) < WRITES:
        raise CantRun("not all writes were acknowledged")
    if TROUBLE:
        primary.crash()
        replica.crash()
        await asyncio.sleep(0.4)
        await replica.start_again(with_log=False)
        await asyncio.sleep(DARK_S - 0.4)
        await primary.start_again(with_log=True)
        deaf.deaf = False
        service.follow(deaf)

    async def reads():
        return await rig.served(rig.entries[1], "batch", "READ 1a4")
    await rig.eventually(40, "nothing is served afterwards", reads)
    leads = next(d for d in service.databases if d.primary and d.up)
    held = {write for _, writes_ in leads.log for write in writes_}
    lost = [w for w in acknowledged if w not in held]
    rig.record.add("acknowledged", len(acknowledged), "not in the log of", leads.id, "which leads:", len(lost))
    return not lost


main(case, controls=5, entries=3, services=["formcost"])
