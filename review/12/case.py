"""A ping whose body is the JSON text null ends the control process that reads it."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from rig import *

PINGS = 3  # of the other writer, each sent to one machine after the other until one answers


async def keep_running(rig, machine, ends):
    """Starts MACHINE's process again after it has ended, as the platform does."""
    while True:
        code = await machine.process.wait()
        ends[machine.name].append(code)
        rig.record.add("ended by itself", machine.name, "exit status", code)
        await asyncio.sleep(0.5)
        await machine.start()


async def case(rig):
    await rig.start(rig.manifest(1, [("batch", "primary", "formcost", {})]))
    entry = rig.entries[0]

    async def writes():
        return await rig.served(entry, "batch", "WRITE 1a4 x")
    await rig.eventually(20, "no write is served", writes)
    await asyncio.sleep(2)  # all machines know the manifest
    ends = {m.name: [] for m in rig.controls}
    for m in rig.controls:
        rig.tasks.append(asyncio.create_task(keep_running(rig, m, ends)))
    for _ in range(PINGS):
        for m in rig.controls if TROUBLE else ():
            status, _ = await http(m.control, "POST", "/api/instances/i-other/heartbeat", "null")
            rig.record.add("other writer", "ping null to", m.name, "answer", status or "none")
            if 200 <= status < 300:
                break
        await asyncio.sleep(2.5)
    for name, codes in ends.items():
        rig.record.add("machine", name, "ended by itself", len(codes), "times", codes)
    often = [name for name, codes in ends.items() if len(codes) >= 3]
    return len(often) < len(rig.controls) / 2


main(case, controls=5, entries=3, services=["formcost"])
