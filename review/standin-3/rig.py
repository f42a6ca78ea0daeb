"""A small deployment on loopback for the scripts of the third review.

The programs under test are started with the commands of deploy/system.toml and
with settings rendered from its templates.  Databases, the infrastructure's
promotion call, the operator and the clients are stand-ins in this process.
Every machine has a loopback address of its own, so that ports are the same on
all machines, as on the platform.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LINK_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7440, 8782, 8784, 8785
DATABASE_PORT, CLOUD_PORT = 8080, 8783
BIN = os.environ.get("BIN", os.path.join(ROOT, "target"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case could not be set up as it describes."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, what, *details):
        line = "%9.3f %s %s" % (self.now(), what, " ".join(map(str, details)))
        self.file.write(line.rstrip() + "\n")
        self.file.flush()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def show(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(show, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)


def render(text, fields):
    """Fills in a template as DEPLOY.md tells it."""
    def section(match):
        kind, name, body = match.groups()
        value = lookup(fields, name)
        if kind == "^":
            return render(body, fields) if not value else ""
        if value is None or value is False:
            return ""
        if not isinstance(value, list):
            return render(body, fields)
        out = []
        for i, entry in enumerate(value):
            one = body.replace("{{.}}", show(entry))
            out.append(one.replace("{{,}}", "," if i + 1 < len(value) else ""))
        return "".join(out)

    text = SECTION.sub(section, text)

    def field(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        return json.dumps(value) if form == "json" else show(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", field, text)


async def http(address, method, path, body=None, headers=(), timeout=1.0):
    """Returns the status and the body; status 0 if there is no answer."""
    writer = None

    async def call():
        nonlocal writer
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = body.encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address, "Connection: close",
                 "Content-Type: application/json", "Content-Length: %d" % len(data)]
        lines += ["%s: %s" % h for h in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        answer = await reader.read()
        head, _, rest = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), rest.decode()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


class Machine:
    def __init__(self, rig, name, role, zone, ip):
        self.rig, self.name, self.role, self.zone, self.ip = rig, name, role, zone, ip
        self.folder = os.path.join(rig.folder, name)
        self.process = None
        self.subscribed_to = None
        os.makedirs(os.path.join(self.folder, "data"))

    def fields(self):
        control = self.role == "control"
        rig = self.rig
        bind = ({"controlPlane": "%s:%d" % (self.ip, CONTROL_PORT)} if control else
                {"frontendAddr": "%s:%d" % (self.ip, CALLER_PORT), "ready": "%s:%d" % (self.ip, READY_PORT)})
        return {
            "nodeName": self.name, "role": self.role, "zone": self.zone, "region": "kz-north",
            "machineClass": "core" if control else "frontend", "ipAddress": self.ip,
            "internalPortRange": [LINK_PORT, LINK_PORT + 15], "bootstrap": rig.first_start,
            "seedNodes": ["%s:%d" % (m.ip, CONTROL_PORT) for m in rig.controls[:3]],
            "dataDir": os.path.join(self.folder, "data"), "heartbeatMs": 1200, "bindAddresses": bind,
            "limits": {"cpuShare": 0.15, "cpuCores": 1, "memoryMb": 256 if control else 182,
                       "maxOpenFiles": 4096 if control else 2940,
                       "bandwidthMbps": 1000.0 if control else 700.0, "diskMb": 128 if control else 0},
            "bounds": {"seedLagS": 3, "addressReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
                       "drainMs": 7000, "gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
                       "rollbackSlackMs": 250, "maxSkewMs": 12000, "recoveryS": 12, "requireFencing": True,
                       "thawSlackMs": 300},
            "cloudApi": {"address": "%s:%d" % (rig.ip(250), CLOUD_PORT), "ratePerS": 50.0,
                         "duties": ["promotion"], "dutyPerS": 50.0},
        }

    async def start(self):
        role = self.rig.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"])) as f:
            text = render(f.read(), self.fields())
        settings = os.path.join(self.folder, "settings.toml")
        with open(settings, "w") as f:
            f.write(text)
        words = role["run"].split()
        words = [os.path.join(BIN, os.path.basename(words[0]))] + [settings if w.startswith("/etc/") else w for w in words[1:]]
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=self.log, stderr=self.log,
                                                            stdin=asyncio.subprocess.DEVNULL)
        self.rig.record.add("start", self.name, self.ip, "pid", self.process.pid)

    def signal(self, number):
        self.rig.record.add("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as f:
            return f.read()

    @property
    def control(self):
        return "%s:%d" % (self.ip, CONTROL_PORT)


class Database:
    """One copy of a service's database."""

    def __init__(self, service, index, zone, ip):
        self.service, self.zone, self.ip = service, zone, ip
        self.id = "i-%s-%d" % (service.name, index)
        self.primary = index == 0
        self.log = [(1, ())]
        self.received_at = [0.0]
        self.lag = 0.02
        self.seen = 0
        self.sealed = 0
        self.deaf = False  # receives nothing
        self.up = True
        self.draining = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = None
        self.connections = 0
        self.writers = set()

    def crash(self):
        """Ends the process; its log stays."""
        self.service.rig.record.add("crash", self.service.name, self.id, "log", self.position())
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self, with_log):
        """Starts again under the same id."""
        self.up, self.sealed, self.deaf = True, 0, False
        self.primary = self.primary and with_log
        self.born, self.sequence = int(time.time() * 1000), 0
        if not with_log:
            self.log, self.received_at = [], []
        self.service.follow(self)
        await self.open()
        self.service.rig.record.add("start", self.service.name, self.id, "log", self.position(),
                                    "primary" if self.primary else "replica")

    def applied(self):
        """The number of commits that reads see; never fewer than before, unless the log itself was cut."""
        now = time.monotonic()
        n = len(self.log)
        while not self.primary and n > 0 and self.received_at[n - 1] + self.lag > now:
            n -= 1
        self.seen = min(max(self.seen, n), len(self.log))
        return self.seen

    def position(self, n=None):
        n = len(self.log) if n is None else n
        if n == 0:
            return "-"
        return "%d.%d" % (self.log[n - 1][0], n)

    def contains(self, point, n):
        term, number = map(int, point.split("."))
        return 0 < number <= n and self.log[number - 1][0] == term

    def value(self, item, n):
        for term, writes in reversed(self.log[:n]):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return "none"

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, DATABASE_PORT)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.connections += 1
        try:
            await Session(self, writer).run(reader)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class Session:
    """A connection to a database."""

    def __init__(self, database, writer):
        self.db, self.writer = database, writer
        self.state, self.read_only, self.writes = "I", False, []
        self.values, self.prepared = {}, {}

    def put(self, line):
        self.writer.write(line.encode() + b"\r\n")

    def ready(self):
        self.put("READY %s %s" % (self.state, self.db.position(self.db.applied())))

    def done(self, proof="-"):
        self.put("DONE " + proof)
        self.ready()

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        self.put("ERR %s %s" % (code, self.db.id))
        self.ready()

    async def run(self, reader):
        db = self.db
        start = (await reader.readuntil(b"\r\n")).decode(errors="replace").split()
        if start[0] != "START" or start[1] != db.service.name or (len(start) > 3 and start[3] != db.id):
            self.put("ERR WRONGNODE " + db.id)
            return
        self.ready()
        while True:
            line = (await reader.readuntil(b"\r\n")).decode(errors="replace")[:-2]
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            ident, _, text = rest.partition(" ")
            await self.query(ident, text)
            await self.writer.drain()

    async def query(self, ident, text):
        db, after = self.db, None
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            after, _, rest = rest.partition(" ")
            verb, _, rest = rest.partition(" ")
        if verb in ("STATUS", "PAUSE", "UNPAUSE", "STEPDOWN"):
            if verb == "PAUSE" and not db.primary and int(rest) > db.service.term:
                db.sealed = int(rest)
            if verb == "UNPAUSE":
                db.sealed = 0
            if verb == "STEPDOWN" and db.primary and int(rest) > db.service.term:
                db.primary = False
                db.received_at = [0.0] * len(db.log)
            self.put("ROW %s %d %s %d 0 0 %d" % ("primary" if db.primary else "replica", db.service.term,
                                                 db.position(), db.sealed, db.connections))
            self.done()
        elif verb == "DISCARD":
            self.values, self.prepared = {}, {}
            self.done()
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            self.done()
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            self.done()
        elif verb == "BEGIN":
            if rest != "READ" and not db.primary:
                self.error("READONLY")
            elif after is not None and not db.contains(after, db.applied()):
                self.error("LAGGING")
            else:
                self.state, self.read_only, self.writes = "T", rest == "READ", []
                self.done()
        elif verb == "ROLLBACK":
            self.state, self.writes = "I", []
            self.done()
        elif self.state == "E":
            self.error("MALFORMED")
        elif self.state == "T" and not self.read_only and not db.primary:
            self.error("READONLY")
        elif verb == "COMMIT":
            await self.commit(ident)
        else:
            await self.work(ident, verb, rest, after)

    async def commit(self, ident):
        db = self.db
        if self.writes:
            await db.service.append(db, self.writes)
        db.service.rig.record.add("run", db.service.name, db.id, ident, "COMMIT", "%d writes" % len(self.writes))
        self.state, self.writes = "I", []
        self.done("p." + ident)

    async def work(self, ident, verb, rest, after):
        db = self.db
        await asyncio.sleep(0.003)
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            shape = self.prepared.get(name)
            if shape is None:
                self.error("NOSTMT")
                return
            verb = shape.split()[0]
        item, _, data = rest.partition(" ")
        if verb == "READ":
            n = db.applied()
            if after is not None and not db.contains(after, n):
                self.error("LAGGING")
                return
            value = db.value(item, n)
            db.service.rig.record.add("run", db.service.name, db.id, ident, "READ", item, "->", value,
                                      "log", db.position(n), "after" if after else "", after or "")
            db.service.runs.append((time.monotonic(), ident, db.id, db.position(n)))
            self.put("ROW " + value)
            self.done("p." + ident)
        elif verb == "WRITE":
            if not db.primary:
                self.error("READONLY")
                return
            self.writes.append((item, data))
            db.service.rig.record.add("run", db.service.name, db.id, ident, "WRITE", item, data)
            if self.state == "T":
                self.done("p." + ident)
            else:
                await db.service.append(db, self.writes)
                self.writes = []
                db.service.runs.append((time.monotonic(), ident, db.id, db.position()))
                self.done("p." + ident)
        else:
            self.error("MALFORMED")


class Service:
    """A service: a primary and two replicas, one in each zone."""

    def __init__(self, rig, name, first_ip):
        self.rig, self.name, self.term = rig, name, 1
        self.token = 0
        self.runs = []
        self.databases = [Database(self, i, rig.zones[i], rig.ip(first_ip + i)) for i in range(3)]

    def receive(self, replica, primary):
        """Whether REPLICA has received all that PRIMARY has."""
        if replica is primary or not replica.up or replica.sealed != 0 or replica.deaf:
            return False
        for n in range(len(replica.log), len(primary.log)):
            replica.log.append(primary.log[n])
            replica.received_at.append(time.monotonic())
        return True

    def follow(self, replica):
        for d in self.databases:
            if d.up and d.primary:
                self.receive(replica, d)

    async def append(self, primary, writes):
        """Commits WRITES once one replica has received them; the others that can receive do so as well."""
        entry = (self.term, tuple(writes))
        primary.log.append(entry)
        primary.received_at.append(time.monotonic())
        length = len(primary.log)
        while True:
            if not primary.primary or primary.log[length - 1] is not entry:
                raise ConnectionError  # it lost the lead
            received = [d.id for d in self.databases if self.receive(d, primary) and len(d.log) >= length]
            if received:
                self.rig.record.add("commit", self.name, primary.id, primary.position(length), "received by",
                                    ",".join(received))
                return
            await asyncio.sleep(0.01)

    def promote(self, ident):
        chosen = next((d for d in self.databases if d.id == ident), None)
        if chosen is None or not chosen.up or chosen.primary:
            return
        self.term += 1
        for d in self.databases:
            d.primary, d.sealed = d is chosen, 0
            if d is not chosen and d.up and not d.deaf:
                d.log = list(chosen.log)
                d.received_at = [0.0] * len(d.log)
        self.rig.record.add("promoted", self.name, ident, "term", self.term)

    async def beat(self, database):
        while True:
            if not database.up:
                await asyncio.sleep(0.05)
                continue
            database.sequence += 1
            body = json.dumps({
                "serviceName": self.name, "address": "%s:%d" % (database.ip, DATABASE_PORT), "zone": database.zone,
                "version": "v1", "capacity": 2, "state": "draining" if database.draining else "ready",
                "coldRemainingMs": 0, "dbRole": "primary" if database.primary else "replica",
                "sequence": database.sequence, "born": database.born})
            for machine in random.sample(self.rig.controls, len(self.rig.controls)):
                status, _ = await http(machine.control, "POST", "/api/instances/%s/heartbeat" % database.id, body)
                if 200 <= status < 300:
                    break
            role = database.primary
            for _ in range(24):
                await asyncio.sleep(0.05)
                if database.up and database.primary != role or database.sequence == 0:
                    break


class Client:
    """A session of a client."""

    def __init__(self, rig, machine, database):
        self.rig, self.machine, self.database = rig, machine, database
        self.serial = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, CALLER_PORT), 3)
        self.writer.write(b"START %s me\r\n" % self.database.encode())
        self.name = "c%d" % self.rig.next_number()
        lines = await self.answer()
        self.rig.record.add("client", self.name, "at", self.machine.name, "START", self.database, "->", lines[-1])
        if not lines[-1].startswith("READY"):
            raise CantRun("START %s at %s: %s" % (self.database, self.machine.name, lines))
        return self

    async def answer(self):
        lines = []
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5)).decode(errors="replace")[:-2]
            lines.append(line)
            if line.startswith("READY") or (line.startswith("ERR") and self.serial == 0):
                return lines

    async def query(self, text, shown=None):
        """Returns the answer's lines without READY; the record has SHOWN in place of TEXT."""
        self.serial += 1
        ident = "%s-%d" % (self.name, self.serial)
        self.sent_at = time.monotonic()
        self.rig.record.add("client", self.name, "at", self.machine.name, "QUERY", ident, shown or text)
        self.writer.write(("QUERY %s %s\r\n" % (ident, text)).encode())
        lines = await self.answer()
        self.rig.record.add("client", self.name, "at", self.machine.name, "answer", ident, " | ".join(lines))
        self.last_id = ident
        return lines[:-1]

    def close(self):
        self.writer.close()


class Rig:
    def __init__(self, folder, controls, entries, services):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review3.")
        self.zones = ["pvl-a", "pvl-b", "ekb-c"]
        self.number = 0
        self.first_start = True
        self.tasks = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        self.net = self.free_net()
        self.controls = [Machine(self, "core-%s-%d" % (self.zones[i % 3], i // 3 + 1), "control", self.zones[i % 3],
                                 self.ip(10 + i)) for i in range(controls)]
        self.entries = [Machine(self, "frontend-%s-%d" % (self.zones[i % 3], i // 3 + 1), "entry",
                                self.zones[i % 3], self.ip(50 + i)) for i in range(entries)]
        self.services = {name: Service(self, name, 100 + 3 * i) for i, name in enumerate(services)}

    def free_net(self):
        for _ in range(50):
            net = "127.%d.%d" % (random.randrange(64, 250), random.randrange(1, 250))
            with socket.socket() as s:
                try:
                    s.bind((net + ".10", LINK_PORT))
                    return net
                except OSError:
                    continue
        raise CantRun("no free loopback addresses")

    def ip(self, host):
        return "%s.%d" % (self.net, host)

    def next_number(self):
        self.number += 1
        return self.number

    async def cloud(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            names = dict(l.lower().split(": ", 1) for l in head.split("\r\n")[1:] if ": " in l)
            body = json.loads(await reader.readexactly(int(names.get("content-length", 0))))
            service = self.services[body["serviceName"]]
            token = int(names["x-galenamount-fencing-token"])
            chosen = next((d for d in service.databases if d.id == body["id"]), None)
            good = token >= service.token and chosen is not None and chosen.up
            self.record.add("promotion", body, "holder", names["x-galenamount-duty-holder"], "token", token,
                            200 if good else 409)
            if good:
                service.token = token
                asyncio.get_running_loop().call_later(0.3, service.promote, body["id"])
            writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                         % (b"200 OK" if good else b"409 Conflict"))
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def manifest(self, version, routes):
        """ROUTES: (database, routeType, service, more fields)."""
        base = {"pathPrefix": "/", "timeoutMs": 1200, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 2,
                "maxStalenessMs": 2500}
        return json.dumps({
            "version": version,
            "routes": [dict(base, name="r-" + d, database=d, routeType=t, serviceName=s, **more)
                       for d, t, s, more in routes],
            "services": [{"name": s, "healthCheckPath": "/health", "maxConnections": 36, "protocol": "h1",
                          "tls": False, "syncReplicas": 1} for s in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "txIdleMs": 3000}})

    async def replace(self, text, machines=None, seconds=10):
        """Sends a manifest until a machine has acknowledged it."""
        machines = machines or self.controls
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for m in machines:
                version = json.loads(text)["version"]
                self.record.add("operator", "replace version", version, "at", m.name)
                status, _ = await http(m.control, "POST", "/api/config/replace", text)
                self.record.add("operator", "answer", status, "version", version, "at", m.name)
                if status == 200:
                    return time.monotonic()
                if 400 <= status < 500:
                    raise CantRun("the manifest was refused")
            await asyncio.sleep(0.1)
        raise CantRun("the manifest was not acknowledged")

    async def eventually(self, seconds, what, condition):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CantRun(what)

    async def all_ready(self):
        for m in self.entries:
            status, _ = await http("%s:%d" % (m.ip, READY_PORT), "GET", "/api/ready")
            if status != 200:
                return False
        return True

    async def start(self, first_manifest):
        cloud = await asyncio.start_server(self.cloud, self.ip(250), CLOUD_PORT)
        self.servers = [cloud]
        for s in self.services.values():
            for d in s.databases:
                await d.open()
        for m in self.controls + self.entries:
            await m.start()
        self.first_start = False
        await self.replace(first_manifest, seconds=25)
        for s in self.services.values():
            for d in s.databases:
                self.tasks.append(asyncio.create_task(s.beat(d)))
        await self.eventually(15, "not all machines are ready", self.all_ready)

    async def served(self, machine, database, text):
        """Whether TEXT is answered with success in a session of its own."""
        try:
            c = await Client(self, machine, database).open()
            lines = await c.query(text)
            c.close()
            return bool(lines) and lines[-1].startswith("DONE p.")
        except (CantRun, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def status(self, machine):
        """The leader's view, over the operators' address of MACHINE."""
        words = [os.path.join(BIN, "galenamount"), "status", "--json", "--host", machine.ip + ":9464"]
        p = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE,
                                                 stderr=asyncio.subprocess.DEVNULL)
        out, _ = await p.communicate()
        try:
            return json.loads(out)
        except ValueError:
            return None

    async def stop(self):
        for t in self.tasks:
            t.cancel()
        for m in self.controls + self.entries:
            if m.process is not None and m.process.returncode is None:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                await m.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, **arguments):
    """Runs CASE (rig) -> True if the rule held; exits as the issue asks."""
    async def run():
        folder = os.path.dirname(os.path.abspath(sys.argv[0]))
        rig = Rig(folder, **arguments)
        try:
            held = await asyncio.wait_for(case(rig), float(os.environ.get("CASE_S", "110")))
            rig.record.add("result", "the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as e:  # the case says nothing of the rule then
            rig.record.add("result", "the case could not run:", repr(e))
            return 2
        finally:
            await rig.stop()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
