"""Stand-ins for the scripts of this folder: a group of databases, the
infrastructure's promotion call, the operator and clients, on loopback.

Everything runs in one asyncio loop.  The databases do what PROTOCOL.md says:
a commit is acknowledged once one replica has received it; PAUSE stops a
replica from receiving until UNPAUSE, a promotion or its restart; a promoted
database leads the next term with what it had received.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write("%9.3f  %s\n" % (now(), text))

    def close(self):
        self.file.close()


class Db:
    def __init__(self, group, name, zone, address):
        self.group = group
        self.id = name
        self.zone = zone
        self.ip, self.port = address
        self.up = False
        self.role = "replica"
        self.term = 1
        self.log = []  # (term, uid, item, data)
        self.applied = 0
        self.paused = 0
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.announces = True
        self.lag = 0.02
        self.server = None
        self.sessions = set()
        self.slots = asyncio.Semaphore(2)
        self.work = {}  # seconds in a slot, by word
        self.reachable = asyncio.Event()  # from all but the other databases
        self.reachable.set()
        self.hooks = {}  # word -> coroutine called before the statement runs

    def position(self, length=None):
        n = len(self.log) if length is None else length
        return "%d.%d" % (self.log[n - 1][0], n) if n > 0 else "-"

    def contains(self, after):
        if after is None:
            return True
        term, number = after
        return number <= self.applied and (number == 0 or self.log[number - 1][0] == term)

    async def start(self):
        self.up = True
        self.paused = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(
            lambda r, w: Session(self, r, w).run(), self.ip, self.port, limit=1 << 21)
        self.group.record.add("%s starts as %s, log at %s" % (self.id, self.role, self.position()))
        if self.role == "replica":
            self.group.catch_up(self)
        self.group.tasks.append(asyncio.ensure_future(self.beat()))

    async def stop(self):
        """The process of the database ends; its log stays."""
        self.up = False
        self.group.record.add("%s stops, log at %s" % (self.id, self.position()))
        self.server.close()
        for s in list(self.sessions):
            s.abort()

    async def beat(self):
        born = self.born
        role, state, last = None, None, -9.0
        while self.up and self.born == born:
            changed = role != self.role or state != self.state
            if self.announces and (changed or now() >= last + 1.2):
                role, state, last = self.role, self.state, now()
                await self.group.announce(self)
            await asyncio.sleep(0.02)


class Session:
    """One connection to a database."""

    def __init__(self, db, reader, writer):
        self.db, self.reader, self.writer = db, reader, writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}
        self.led_in = 0
        self.unsent = b""

    def abort(self):
        if self.writer.transport is not None:
            self.writer.transport.abort()

    def send(self, *lines):
        self.unsent += ("\r\n".join(lines) + "\r\n").encode()
        if self.db.reachable.is_set():
            self.flush()
        else:
            self.db.group.tasks.append(asyncio.ensure_future(self.flush_later()))

    def flush(self):
        if self.unsent and not self.writer.is_closing():
            self.writer.write(self.unsent)
        self.unsent = b""

    async def flush_later(self):
        await self.db.reachable.wait()
        self.flush()

    def ready(self):
        return "READY %s %s" % (self.state, self.db.position(self.db.applied))

    def done(self, qid, rows=()):
        proof = "-" if qid == "-" else "sig.%s.%s" % (self.db.id, qid)
        self.send(*["ROW " + r for r in rows], "DONE " + proof, self.ready())

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        self.send("ERR %s %s" % (code, self.db.id), self.ready())

    async def run(self):
        db = self.db
        if not db.up:
            self.abort()
            return
        db.sessions.add(self)
        try:
            line = (await self.reader.readline()).decode().rstrip("\r\n").split(" ")
            await db.reachable.wait()
            async with db.slots:  # a new connection occupies a slot for some time
                await asyncio.sleep(0.012)
            expected = line[3] if len(line) > 3 else db.id
            if line[0] != "START" or line[1] != db.group.name or expected != db.id:
                self.send("ERR WRONGNODE " + db.id)
                self.writer.close()
                return
            self.send(self.ready())
            while db.up:
                raw = await self.reader.readline()
                if not raw.endswith(b"\n"):
                    break
                text = raw.decode().rstrip("\r\n")
                if text == "BYE":
                    break
                await db.reachable.wait()
                _, qid, query = text.split(" ", 2)
                await self.query(qid, query)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            db.sessions.discard(self)
            self.writer.close()

    def leads(self):
        return self.db.role == "primary" and (self.state != "T" or self.led_in == self.db.term)

    async def query(self, qid, query):
        db = self.db
        words = query.split(" ")
        after = None
        if words[0] == "AFTER":
            term, number = words[1].split(".")
            after = (int(term), int(number))
            words = words[2:]
        verb = words[0]
        if verb in db.hooks:
            await db.hooks[verb](self, words)
        if qid != "-":
            db.group.ran.add(qid)
            db.group.record.add("%s runs %s %s" % (db.id, qid, query))
        if verb in ("STATUS", "PAUSE", "UNPAUSE", "STEPDOWN"):
            await self.call(verb, words)
        elif verb == "DISCARD":
            self.values, self.prepared = {}, {}
            self.done(qid)
        elif verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            self.done(qid)
        elif verb == "PREPARE":
            self.prepared[words[1]] = words[2]
            self.done(qid)
        elif verb == "ROLLBACK":
            self.writes, self.state = [], "I"
            self.done(qid)
        elif self.state == "E":
            self.error("MALFORMED")
        elif verb == "BEGIN":
            self.begin(qid, len(words) > 1, after)
        else:
            async with db.slots:
                # work_ms of the site file: a mean, a spread of 0.7, a largest value
                mean = db.work.get(verb, 0.003)
                await asyncio.sleep(min(mean * random.lognormvariate(-0.245, 0.7), 7 * mean))
            if verb == "EXEC":
                if words[1] not in self.prepared:
                    self.error("NOSTMT")
                    return
                verb = self.prepared[words[1]]
                words = [verb] + words[2:]
            await self.statement(qid, verb, words, after)

    def begin(self, qid, read_only, after):
        db = self.db
        if not read_only and db.role != "primary":
            self.error("READONLY")
        elif not db.contains(after):
            self.error("LAGGING")
        else:
            self.state, self.read_only, self.led_in = "T", read_only, db.term
            self.done(qid)

    async def statement(self, qid, verb, words, after):
        db = self.db
        plain = self.state == "T" and not self.read_only
        if plain and not self.leads() and not (verb == "COMMIT" and not self.writes):
            self.error("READONLY")
        elif verb == "READ":
            if not db.contains(after):
                self.error("LAGGING")
                return
            data = [e[3] for e in db.log[:db.applied] if e[2] == words[1]]
            self.done(qid, [data[-1] if data else "none"])
        elif verb == "WRITE":
            if self.state == "T" and self.read_only or not self.leads():
                self.error("READONLY")
                return
            entry = (qid, words[1], " ".join(words[2:]))
            if self.state == "T":
                self.writes.append(entry)
                self.done(qid)
            else:
                self.writes = [entry]
                await self.commit(qid)
        elif verb == "COMMIT":
            await self.commit(qid)
        else:
            self.error("MALFORMED")

    async def commit(self, qid):
        writes, self.writes, self.state = self.writes, [], "I"
        if not writes or await self.db.group.commit(self.db, writes):
            self.done(qid)

    async def call(self, verb, words):
        db = self.db
        number = int(words[1]) if len(words) > 1 else 0
        who = "%s answers %s" % (db.id, " ".join(words))
        if verb == "PAUSE" and db.role == "replica" and number > db.term:
            db.paused = max(db.paused, number)
        if verb == "UNPAUSE":
            db.paused = 0
            db.group.catch_up(db)
        if verb == "STEPDOWN" and db.role == "primary" and db.term < number:
            db.role = "replica"
            db.group.catch_up(db)
        row = "%s %d %s %d 0 1 %d" % (db.role, db.term, db.position(), db.paused, len(db.sessions))
        if number > 0 or verb != "PAUSE":
            db.group.record.add("%s: %s" % (who, row))
        self.send("ROW " + row, "DONE -", self.ready())


class Group:
    """One service: a primary and its replicas."""

    def __init__(self, record, name, control, promote_s):
        self.record, self.name, self.control = record, name, control
        self.promote_s = promote_s
        self.dbs = []
        self.term = 1
        self.token = 0
        self.cut = set()  # pairs of ids that can't reach each other
        self.tasks = []
        self.on_promoted = None
        self.ordered = None  # the database of the last accepted order
        self.ran = set()  # ids of the statements that reached a database

    def db(self, name):
        return next(d for d in self.dbs if d.id == name)

    def primary(self):
        for d in self.dbs:
            if d.role == "primary" and d.term == self.term:
                return d
        return None

    def linked(self, a, b):
        return a.up and b.up and frozenset((a.id, b.id)) not in self.cut

    def receives(self, replica, primary):
        return (replica.role == "replica" and replica.paused == 0 and primary.role == "primary"
                and primary.term >= replica.term and self.linked(replica, primary))

    def receive(self, replica, primary, length):
        if not self.receives(replica, primary):
            return False
        same = 0
        while (same < min(len(replica.log), length)
               and replica.log[same] == primary.log[same]):
            same += 1
        if same < length:
            replica.log[same:] = primary.log[same:length]
            replica.applied = min(replica.applied, same)
        replica.term = primary.term
        self.record.add("%s has received %s from %s" % (replica.id, replica.position(), primary.id))
        asyncio.get_running_loop().call_later(replica.lag, self.apply, replica, length)
        return True

    def apply(self, replica, length):
        replica.applied = max(replica.applied, min(length, len(replica.log)))

    def catch_up(self, replica):
        primary = self.primary()
        if primary is not None and primary is not replica:
            self.tasks.append(asyncio.ensure_future(self.ship(primary, replica, len(primary.log))))

    async def ship(self, primary, replica, length):
        """Sends the log up to LENGTH.  True once the replica has it."""
        await asyncio.sleep(0.001 if primary.zone == replica.zone else 0.002)
        while primary.up and primary.role == "primary":
            if self.receive(replica, primary, length):
                return True
            if replica.role == "primary":
                return False
            await asyncio.sleep(0.01)
        return False

    async def commit(self, db, writes):
        """Commits at DB.  True once one replica has received the commit."""
        for uid, item, data in writes:
            db.log.append((db.term, uid, item, data))
        length = db.applied = len(db.log)
        self.record.add("%s commits %s at %s" % (db.id, " ".join(w[0] for w in writes), db.position()))
        waits = {asyncio.ensure_future(self.ship(db, r, length))
                 for r in self.dbs if r is not db and r.up}
        known = set(self.dbs)
        self.tasks += waits
        while db.up and db.role == "primary":
            if waits:
                done, waits = await asyncio.wait(waits, timeout=0.02,
                                                 return_when=asyncio.FIRST_COMPLETED)
                if any(t.result() for t in done if not t.cancelled()):
                    return True
            else:
                await asyncio.sleep(0.02)
            for r in self.dbs:
                if r not in known and r.up and r is not db:
                    known.add(r)
                    waits.add(asyncio.ensure_future(self.ship(db, r, length)))
        return False

    async def announce(self, db, suffix="heartbeat"):
        db.sequence += 1
        body = json.dumps({
            "serviceName": self.name, "address": "%s:%d" % (db.ip, db.port), "zone": db.zone,
            "version": "v1", "capacity": 2, "state": db.state, "coldRemainingMs": 0,
            "dbRole": db.role, "sequence": db.sequence, "born": db.born})
        for _ in range(3):
            host = random.choice(self.control)
            status, _ = await http("POST", host, "/api/instances/%s/%s" % (db.id, suffix), body, 1.0)
            if status == 200:
                if db.state != "ready":
                    self.record.add("%s: %s is acknowledged" % (db.id, db.state))
                return True
        return False

    async def promotion(self, headers, body):
        """POST /promotion: the status of the answer."""
        order = json.loads(body)
        token = int(headers["x-galenamount-fencing-token"])
        holder = headers["x-galenamount-duty-holder"]
        found = [d for d in self.dbs if d.id == order["id"] and d.up]
        status = 409 if token < self.token or not found else 200
        self.record.add("promotion of %s by %s, token %d: %d" % (order["id"], holder, token, status))
        if status == 200:
            self.token = max(self.token, token)
            self.ordered = found[0]
            self.tasks.append(asyncio.ensure_future(self.promote(found[0], token)))
        return status

    async def promote(self, db, token):
        await asyncio.sleep(self.promote_s)
        if not db.up or token < self.token or db.role == "primary":
            return
        self.term += 1
        self.record.add("%s leads term %d with %s" % (db.id, self.term, db.position()))
        db.role, db.term, db.paused = "primary", self.term, 0
        db.applied = len(db.log)
        if self.on_promoted is not None:
            self.on_promoted(db)
        for d in self.dbs:
            if d is not db and d.up and self.linked(d, db):
                d.role, d.paused = "replica", 0
                self.catch_up(d)


async def http(method, host, path, body="", timeout=1.0):
    """Sends one request; (0, "") when there is no answer."""
    ip, port = host.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                "Connection: close\r\nContent-Length: %d\r\n\r\n" % (method, path, host, len(body)))
        writer.write((head + body).encode())
        data = await asyncio.wait_for(reader.read(), timeout)
        top, _, rest = data.partition(b"\r\n\r\n")
        return int(top.split(b" ")[1]), rest.decode()
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


async def serve_http(ip, port, handler):
    async def on_connection(reader, writer):
        try:
            while True:
                top = await reader.readline()
                if not top:
                    break
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status = await handler(headers, body.decode())
                writer.write(b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port)


def render(path, fields):
    """Fills in a template of the deploy file, as far as these templates go."""
    with open(path, encoding="utf-8") as f:
        text = f.read()

    def value(name):
        v = fields
        for part in name.split("."):
            v = v[int(part)] if isinstance(v, list) else v.get(part, "")
        return v

    def section(m):
        items = value(m.group(1))
        return "".join(m.group(2).replace("{{.}}", str(x)).replace(
            "{{,}}", "," if i + 1 < len(items) else "") for i, x in enumerate(items))

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Host:
    """One process of the project, started as the deploy file says."""

    def __init__(self, world, name, role, zone, ip):
        self.world, self.name, self.role, self.zone, self.ip = world, name, role, zone, ip
        self.process = None
        self.first = True
        self.link = None  # another address of the links, of a proxy

    def control_address(self):
        return "%s:%d" % (self.ip, self.world.control_port)

    def fields(self):
        w = self.world
        return {"nodeName": self.name, "zone": self.zone, "ipAddress": self.ip,
                "internalPortRange": [w.link_port, w.link_port + 15],
                "seedNodes": w.seeds, "bootstrap": self.first,
                "dataDir": os.path.join(w.folder, "data-" + self.name),
                "limits": {"bandwidthMbps": 700.0},
                "cloudApi": {"address": "%s:%d" % (w.cloud_ip, w.cloud_port)},
                "bindAddresses": {"frontendAddr": "%s:%d" % (self.ip, w.front_port),
                                  "ready": "%s:%d" % (self.ip, w.ready_port),
                                  "controlPlane": self.control_address()}}

    def start(self):
        w = self.world
        path = os.path.join(w.folder, self.name + ".json")
        template = "deploy/entry.json" if self.role == "entry" else "deploy/control.json"
        with open(path, "w", encoding="utf-8") as f:
            f.write(render(os.path.join(REPO, template), self.fields()))
        if self.role == "control":
            os.makedirs(os.path.join(w.folder, "data-" + self.name), exist_ok=True)
        log = open(os.path.join(w.folder, self.name + ".log"), "a", encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            ["target/galenamountd", "--settings", path], cwd=REPO, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.first = False
        w.record.add("%s starts" % self.name)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.world.record.add("%s gets %s" % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class World:
    """A small deployment: control hosts, entry hosts, the infrastructure."""

    ZONES = ["za", "zb", "zc"]

    def __init__(self, folder, controls=3, entries=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = self.free_net()
        self.link_port, self.control_port = 7440, 8782
        self.front_port, self.ready_port, self.db_port = 8784, 8785, 8167
        self.cloud_ip, self.cloud_port = net + "250", 8783
        self.hosts = []
        for i in range(controls):
            self.hosts.append(Host(self, "core-%d" % (i + 1), "control", self.ZONES[i % 3],
                                   net + str(11 + i)))
        for i in range(entries):
            self.hosts.append(Host(self, "front-%d" % (i + 1), "entry", self.ZONES[i % 3],
                                   net + str(21 + i)))
        self.net = net
        self.controls = [h for h in self.hosts if h.role == "control"]
        self.entries = [h for h in self.hosts if h.role == "entry"]
        self.seeds = [h.control_address() for h in self.controls[:3]]
        self.servers = []
        self.group = None

    @staticmethod
    def free_net():
        for _ in range(50):
            net = "127.%d.%d." % (random.randint(20, 250), random.randint(1, 250))
            try:
                for port in (7440, 8782, 9464):
                    with socket.socket() as s:
                        s.bind((net + "11", port))
                return net
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    async def start(self, databases, promote_s=0.3):
        """Starts the hosts and a group with one database in each of DATABASES,
        a list of zones; the first is the primary."""
        self.group = Group(self.record, "stock", [h.control_address() for h in self.controls],
                           promote_s)
        self.servers.append(await serve_http(self.cloud_ip, self.cloud_port, self.group.promotion))
        for h in self.hosts:
            h.start()
        for i, zone in enumerate(databases):
            self.add_db("db%d" % (i + 1), zone)
        self.group.dbs[0].role = "primary"
        for d in self.group.dbs:
            d.log = [(1, "first", "first", "0")]
            d.applied = 1
        for d in self.group.dbs:
            await d.start()

    def add_db(self, name, zone):
        db = Db(self.group, name, zone, (self.net + str(100 + len(self.group.dbs)), self.db_port))
        self.group.dbs.append(db)
        return db

    async def ready(self, host):
        status, _ = await http("GET", "%s:%d" % (host.ip, self.ready_port), "/api/ready")
        return status == 200

    async def replace(self, manifest, hosts=None):
        """Sends MANIFEST until it is acknowledged; the time of that."""
        body = json.dumps(manifest)
        deadline = now() + 15
        while now() < deadline:
            host = random.choice(hosts or self.controls)
            status, _ = await http("POST", host.control_address(), "/api/config/replace", body)
            self.record.add("manifest %d to %s: %d" % (manifest["version"], host.name, status))
            if status == 200:
                return now()
            await asyncio.sleep(0.1)
        raise RuntimeError("the manifest was not acknowledged")

    async def until(self, what, seconds, condition):
        deadline = now() + seconds
        while now() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("not in time: " + what)

    async def up(self, routes):
        """Sends the first manifest and waits until the whole path serves."""
        await self.replace(manifest(1, routes))
        for h in self.entries:
            await self.until(h.name + " is ready", 15, lambda h=h: self.ready(h))
        name = routes[0][0]
        for h in self.entries:
            async def served(h=h):
                c = await Client.open(self, h, name)
                if c is None:
                    return False
                good = await c.ask("WRITE warm 1")
                c.close()
                return good[0] == "DONE"
            await self.until("the group serves", 15, served)

    async def end(self):
        for h in self.hosts:
            if h.process is not None and h.process.poll() is None:
                h.process.send_signal(signal.SIGCONT)
                h.process.kill()
                h.process.wait()
        for t in self.group.tasks if self.group is not None else []:
            t.cancel()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept:", self.folder)
        self.record.close()


def manifest(version, routes):
    """ROUTES: a list of (database, routeType)."""
    return {"version": version,
            "routes": [{"name": "r-" + d, "database": d, "pathPrefix": "/", "routeType": t,
                        "timeoutMs": 800, "targetLatencyMs": 100, "priority": 0,
                        "serviceName": "stock", "maxAttempts": 2, "maxStalenessMs": 1500}
                       for d, t in routes],
            "services": [{"name": "stock", "healthCheckPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "syncReplicas": 1}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "txIdleMs": 3000}}


class Client:
    serial = 0

    def __init__(self, world, reader, writer, name):
        self.world, self.reader, self.writer, self.name = world, reader, writer, name
        self.state = "I"

    @staticmethod
    async def open(world, host, database, timeout=2.0):
        Client.serial += 1
        name = "c%d@%s" % (Client.serial, host.name)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host.ip, world.front_port, limit=1 << 21), timeout)
            c = Client(world, reader, writer, name)
            world.record.add("%s sends START %s" % (name, database))
            writer.write(("START %s user\r\n" % database).encode())
            line = (await asyncio.wait_for(reader.readline(), timeout)).decode().strip()
            world.record.add("%s gets %s" % (name, line or "no answer"))
        except (OSError, asyncio.TimeoutError):
            return None
        if not line.startswith("READY"):
            c.answer = line
            c.close()
            return None
        return c

    async def ask(self, text, timeout=3.0):
        """(first word of the answer, the rest, rows, id)."""
        Client.serial += 1
        qid = "q%06d" % Client.serial
        rows, end = [], ("NONE", "")
        try:
            self.world.record.add("%s sends %s %s" % (self.name, qid, text))
            self.writer.write(("QUERY %s %s\r\n" % (qid, text)).encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
                if not line.endswith("\n"):
                    end = ("NONE", "")
                    break
                word, _, rest = line.strip().partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "READY":
                    self.state = rest[0]
                    break
                else:
                    end = (word, rest)
        except (OSError, asyncio.TimeoutError):
            end = ("NONE", "")
        self.world.record.add("%s gets %s: %s %s%s" % (
            self.name, qid, end[0], end[1], " with " + rows[0] if rows else ""))
        return end[0], end[1], rows, qid

    def close(self):
        self.writer.close()


def run_case(folder, case):
    """Runs the coroutine CASE (world, trouble); exits with 1 if it returns
    True (the rule was broken), 0 if False, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder)
        try:
            return 1 if await asyncio.wait_for(case(world, trouble), 115) else 0
        except (RuntimeError, OSError, asyncio.TimeoutError) as e:
            world.record.add("could not run: %r" % e)
            print("could not run: %r" % e)
            return 2
        finally:
            await world.end()

    code = asyncio.run(main())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
