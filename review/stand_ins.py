"""Stand-ins for the cases of this review: state service, cloud, workers and users, on loopback and the real clock.

Only Python's standard library is used. The stand-ins follow the protocol page; where it is silent they behave like a
sound server, client or platform. A case describes its site, starts the project's own controllers as separate
processes with the command of the deploy file, and judges only what users, workers and the platform can see.
"""

import asyncio
import bisect
import collections
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# PROTOCOL, "POST /work": no response within 5 s; "GET /work/{id}": users wait 2 s for an answer.
SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
# hunt/LATER.md: "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit".
LEFT_WAITING_S = 90.0


def free_address(i):
    """An unused address on loopback for a controller. It is never 127.0.0.1, the local address of outgoing connections,
    which could take the port before the controller listens on it."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 14) % 250}.{(pid >> 6) % 256}.{(pid % 64) * 4 + 1 + i % 3}"
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()


class Record:
    """The record of a run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------------------------------------- HTTP


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return lines[0], headers, body


async def call(address, method, path, body, timeout):
    """One request on a new connection. Returns (status, headers, JSON) or None if there was no response."""
    host, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
            )
            await writer.drain()
            first, headers, answer = await read_message(reader)
            try:
                value = json.loads(answer) if answer else None
            except ValueError:
                value = None
            return int(first.split(" ")[1]), headers, value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


async def serve(handle):
    """Starts a server whose `handle(method, path, query, body)` returns (status, value). Returns its port."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(f.partition("=")[::2] for f in query.split("&") if f)
                status, value = await handle(method, path, fields, body)
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0, limit=1 << 20)
    return server.sockets[0].getsockname()[1]


class Link:
    """A way between two hosts. While it is cut, what is sent is held back and delivered in order afterwards, and attempts
    to connect are not answered and never complete."""

    def __init__(self, port):
        self.target, self.open = port, asyncio.Event()
        self.open.set()
        self.requests = []  # first lines of what went through, as the far side sees them

    async def start(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self, is_cut):
        (self.open.clear if is_cut else self.open.set)()

    async def connection(self, reader, writer):
        try:
            if not self.open.is_set():
                while await reader.read(1 << 16):
                    pass
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)

            async def pump(source, sink, requests):
                try:
                    while data := await source.read(1 << 16):
                        await self.open.wait()
                        if requests is not None:
                            requests.append((time.monotonic(), data.split(b"\r\n")[0].decode("latin-1")))
                        sink.write(data)
                        await sink.drain()
                finally:
                    sink.close()

            await asyncio.gather(pump(reader, far_writer, self.requests), pump(far_reader, writer, None))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Bucket:
    """A rate limit with a burst."""

    def __init__(self, rate, burst_s):
        self.rate, self.burst = rate, rate * burst_s
        self.level, self.at = self.burst, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < n:
            return False
        self.level -= n
        return True


# ------------------------------------------------------------------------------------------------- state service


class StateService:
    """The key-value store of the protocol page, with its limits."""

    def __init__(self, record, limits):
        self.record, self.limits = record, limits
        self.epoch = 0
        self.keys = {}  # key -> (data, stamp, tenure)
        self.sorted_keys = []
        self.changes = collections.deque(maxlen=10_000)  # (epoch, event)
        self.first_kept = 0  # changes after this epoch are kept
        self.holds = {}  # tenure -> (ttl, expires at)
        self.last_hold = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"], 1.0)
        self.writes = Bucket(limits["write_rps"], 1.0)
        self.refused_400 = 0

    async def start(self):
        self.port = await serve(self.handle)
        asyncio.ensure_future(self.expire())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, writes):
        self.epoch += 1
        for w in writes:
            if "write" in w:
                key = w["write"]
                if key not in self.keys:
                    bisect.insort(self.sorted_keys, key)
                self.keys[key] = (w["data"], self.epoch, w.get("tenure"))
                event = {"write": key, "data": w["data"], "stamp": self.epoch}
            else:
                key = w["delete"]
                if key not in self.keys:
                    continue
                del self.keys[key]
                self.sorted_keys.remove(key)
                event = {"delete": key, "stamp": self.epoch}
            if len(self.changes) == self.changes.maxlen:
                self.first_kept = self.changes[0][0]
            self.changes.append((self.epoch, event))
        self.notify()

    def end_hold(self, tenure):
        if self.holds.pop(tenure, None) is None:
            return False
        attached = [k for k, (_, _, t) in self.keys.items() if t == tenure]
        if attached:
            self.apply([{"delete": k} for k in attached])
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for tenure in [t for t, (_, at) in self.holds.items() if now > at]:
                self.end_hold(tenure)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.003)
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/txn" and method == "POST":
            return self.transaction(body)
        if path == "/keys":
            return self.listing(query)
        if path == "/watch":
            return await self.watch(query)
        if path.startswith("/keys/"):
            key = path[len("/keys/") :]
            if key in self.keys:
                data, stamp, tenure = self.keys[key]
                return 200, {"k": key, "data": data, "stamp": stamp, "tenure": tenure}
            return 404, {"epoch": self.epoch}
        if path == "/holds" and method == "POST":
            ttl = json.loads(body)["ttlMs"] / 1000.0
            self.last_hold += 1
            self.holds[self.last_hold] = (ttl, time.monotonic() + ttl)
            return 200, {"tenure": self.last_hold}
        if path.startswith("/holds/"):
            parts = path.split("/")
            tenure = int(parts[2])
            if method == "DELETE":
                return (200, {}) if self.end_hold(tenure) else (404, {})
            if tenure not in self.holds:
                return 404, {}
            ttl, _ = self.holds[tenure]
            self.holds[tenure] = (ttl, time.monotonic() + ttl)
            return 200, {}
        return 400, {"error": "malformed"}

    def transaction(self, body):
        try:
            txn = json.loads(body)
        except ValueError:
            return 400, {"error": "malformed"}
        writes, conditions = txn.get("writes", []), txn.get("when", [])
        sizes = [len(json.dumps(w["data"], separators=(",", ":")).encode()) for w in writes if "data" in w]
        max_ops = self.limits["txn_ops"]
        if (
            len(body) > 64 * 1024
            or len(writes) > max_ops
            or len(conditions) > 4 * max_ops
            or any(size > self.limits["value_kb"] * 1024 for size in sizes)
        ):
            self.refused_400 += 1
            big = max(zip(sizes, (w["write"] for w in writes if "data" in w)), default=(0, ""))
            self.record.line(
                f"state service: 400 to a transaction of {len(writes)} changes, {len(body)} bytes; "
                f"largest value {big[0]} bytes at {big[1]}"
            )
            return 400, {"error": "over the limits"}
        if not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(w.get("tenure") is not None and w["tenure"] not in self.holds for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.apply(writes)
        return 200, {"epoch": self.epoch}

    def listing(self, query):
        prefix, after = query.get("prefix", ""), query.get("from", "")
        page = min(int(query.get("page", 1000)), 1000)
        items, size, more = [], 0, False
        start = bisect.bisect_right(self.sorted_keys, after) if after else bisect.bisect_left(self.sorted_keys, prefix)
        for key in self.sorted_keys[start:]:
            if not key.startswith(prefix):
                if key > prefix:
                    break
                continue
            data, stamp, _ = self.keys[key]
            item = {"k": key, "data": data, "stamp": stamp}
            size += len(json.dumps(item))
            if len(items) == page or size > 500 * 1024:
                more = True
                break
            items.append(item)
        return 200, {"items": items, "more": more, "epoch": self.epoch}

    async def watch(self, query):
        prefix, since = query.get("prefix", ""), int(query.get("from", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 60_000) / 1000.0
        while True:
            if since < self.first_kept:
                return 410, {"error": "too old"}
            news = [e for at, e in self.changes if at > since and (e.get("write") or e["delete"]).startswith(prefix)]
            left = until - time.monotonic()
            if news or left <= 0:
                return 200, {"epoch": self.epoch, "news": news}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass


# --------------------------------------------------------------------------------------------------------- cloud


class Cloud:
    """Rents machines of one type, as far as the capacity of each zone and kind goes."""

    def __init__(self, site, machine_type, capacity, boot_s):
        self.site, self.type, self.capacity, self.boot_s = site, machine_type, dict(capacity), boot_s
        self.machines = {}  # name -> Machine, of all that ever were
        self.charters = {}
        self.requests = Bucket(site.facts["cloud"]["rps"], 2.0)

    async def start(self):
        self.port = await serve(self.handle)

    def add(self, yard, spot, boot_s):
        name = f"m-{len(self.machines) + 1:06d}"
        machine = Machine(self.site, name, self.type, yard, spot, boot_s)
        self.machines[name] = machine
        self.capacity[(yard, spot)] -= 1
        return machine

    def remove(self, machine, why):
        if not machine.exists:
            return
        machine.end(why)
        if why == "returned":
            self.capacity[(machine.yard, machine.spot)] += 1

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"rigs": [self.type]}
        if path == "/hosts" and method == "POST":
            return self.rent(json.loads(body))
        if path == "/hosts/return" and method == "POST":
            for name in json.loads(body)["hosts"]:
                if name in self.machines:
                    self.remove(self.machines[name], "returned")
            return 200, {}
        if path == "/hosts":
            return self.listing(query)
        return 400, {"error": "malformed"}

    def rent(self, request):
        charter = request["charter"]
        if charter in self.charters:
            return 200, {"hosts": self.charters[charter]}
        pool = (request["yard"], request["loaners"])
        count = min(request["howMany"], self.capacity.get(pool, 0), 50)
        if count <= 0:
            self.site.record.line(f"cloud: no capacity for {request}")
            return 503, {"error": "no capacity"}
        machines = [self.add(*pool, self.boot_s) for _ in range(count)]
        names = [m.name for m in machines]
        self.charters[charter] = names
        self.site.record.line(f"cloud: rented {names} in {pool[0]}, {'spot' if pool[1] else 'ordinary'}")
        return 200, {"hosts": names}

    def listing(self, query):
        as_of = time.monotonic() - self.site.facts["cloud"]["list_lag_s"] / 2
        hosts = []
        for name, m in self.machines.items():
            gone = m.ended_at is not None and m.ended_at <= as_of
            if m.rented_at > as_of or gone or name <= query.get("from", ""):
                continue
            status = "running" if m.up_at is not None and m.up_at <= as_of else "booting"
            hosts.append(
                {"nameId": name, "endpoint": f"127.0.0.1:{m.port}", "rig": m.type["label"], "yard": m.yard,
                 "loaners": m.spot, "status": status, "ageS": as_of - m.rented_at}
            )
        page = min(int(query.get("page", 500)), 500)
        return 200, {"hosts": hosts[:page], "more": len(hosts) > page}


# ------------------------------------------------------------------------------------------------------- workers


class Task:
    def __init__(self, name, attempt, job, state, cause=None):
        self.name, self.attempt, self.job, self.state, self.cause = name, attempt, job, state, cause

    def report(self):
        status = {"take": self.name, "try": self.attempt, "status": self.state}
        if self.cause:
            status["cause"] = self.cause
        return status


class Machine:
    """A machine and its worker."""

    def __init__(self, site, name, machine_type, yard, spot, boot_s):
        self.site, self.name, self.type, self.yard, self.spot = site, name, machine_type, yard, spot
        self.port = 9  # nothing listens: direct commands are not needed by the cases
        self.rented_at, self.up_at, self.ended_at = time.monotonic(), None, None
        self.exists, self.sick, self.hangs_until = True, False, 0.0
        self.session, self.seq, self.warrant = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.changed = asyncio.Event()
        self.warrant_change_at = -1e9
        self.warrants_seen = []
        self.fetching = asyncio.Lock()
        asyncio.ensure_future(self.run(boot_s))

    def end(self, why):
        self.exists, self.ended_at = False, time.monotonic()
        self.tasks = {}
        self.site.record.line(f"machine {self.name}: {why}")

    # Resources

    def free(self):
        free = [self.type["cores"], self.type["cards"], self.type["ramGb"]]
        for task in self.tasks.values():
            if task.state != "exited":
                for i, amount in enumerate(task.job.need()):
                    free[i] -= amount
        return free

    def fits(self, job):
        spec = job.spec
        return (
            self.exists
            and self.up_at is not None
            and (spec["rigs"] is None or self.type["label"] in spec["rigs"])
            and spec["yard"] in (None, self.yard)
            and (spec["loaners"] or not self.spot)
            and all(f + 1e-9 >= n for f, n in zip(self.free(), job.need()))
        )

    # Reports

    async def run(self, boot_s):
        await asyncio.sleep(boot_s)
        if not self.exists:
            return
        self.up_at = self.lease_from = time.monotonic()
        self.site.record.line(f"machine {self.name}: up in {self.yard}, {'spot' if self.spot else 'ordinary'}")
        asyncio.ensure_future(self.watch_lease())
        names = self.site.nodes
        node = random.randrange(len(names))
        facts = self.site.facts["workers"]
        sent_at = 0.0
        while self.exists:
            due = sent_at + facts["report_s"] * random.uniform(0.75, 1.25)
            while self.exists and time.monotonic() < due:
                if self.changed.is_set():
                    due = min(due, max(sent_at + 0.5, time.monotonic()))
                wait = due - time.monotonic()
                if wait <= 0:
                    break
                if self.changed.is_set():
                    await asyncio.sleep(wait)
                else:
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
            if not self.exists:
                return
            await self.hung()
            self.changed.clear()
            sent_at = time.monotonic()
            session = self.session
            answer = await call(self.site.addresses[names[node]], "POST", "/checkin", self.report(), 4.0)
            await self.hung()
            if not self.exists:
                return
            if time.monotonic() - sent_at > 4.0:
                answer = None  # a worker drops answers after 4 s
            status = answer[0] if answer else None
            if status == 200:
                self.on_answer(answer[2], session, sent_at)
            elif status == 421 and answer[2] and answer[2].get("muster") in names and answer[2]["muster"] != names[node]:
                node = names.index(answer[2]["muster"])
                sent_at = time.monotonic() - facts["report_s"] * 1.25
            else:
                node = (node + 1) % len(names)
                await asyncio.sleep(1.0)
                sent_at = time.monotonic() - facts["report_s"] * 1.25

    async def hung(self):
        """A hanging machine does nothing; it goes on later."""
        while self.exists and time.monotonic() < self.hangs_until:
            await asyncio.sleep(0.02)

    def report(self):
        self.seq += 1
        return {
            "host": self.name, "endpoint": f"127.0.0.1:{self.port}", "rig": self.type["label"], "yard": self.yard,
            "loaners": self.spot, "watch": self.session, "tally": self.seq, "warrant": self.warrant, "warningS": None,
            "takes": [t.report() for t in self.tasks.values()],
        }

    def on_answer(self, answer, session, sent_at):
        warrant = answer.get("warrant")
        if session != self.session or warrant is None or warrant < self.warrant:
            return
        if warrant > self.warrant:
            self.warrant = warrant
            self.warrants_seen.append(warrant)
            now = time.monotonic()
            if now - self.warrant_change_at >= self.site.facts["workers"]["lease_s"] / 2:
                self.warrant_change_at = now
                self.changed.set()
        self.lease_from = sent_at
        for order in answer.get("orders", []):
            self.execute(order)

    async def watch_lease(self):
        while self.exists:
            await asyncio.sleep(0.1)
            await self.hung()
            if time.monotonic() - self.lease_from > self.site.facts["workers"]["lease_s"]:
                self.site.record.line(f"worker {self.name}: lease ended, {len(self.tasks)} tasks killed")
                self.tasks = {}
                self.session += 1
                self.seq = 0
                self.lease_from = time.monotonic()
                self.changed.set()

    # Commands

    def execute(self, order):
        key = (order["take"], order["try"])
        self.site.record.line(f"worker {self.name}: {order['verb']} {order['take']} try {order['try']}")
        task = self.tasks.get(key)
        if order["verb"] == "run":
            if task is None:
                self.start(*key)
        elif order["verb"] == "stop":
            if task is not None and task.state != "exited":
                asyncio.ensure_future(self.stop(task, order.get("slackS", 0)))
        elif task is not None and task.state == "exited":
            del self.tasks[key]

    def start(self, name, attempt):
        job = self.site.jobs.get(name.split("/")[0])
        cause = None
        if job is None or not job.sent or int(name.split("/")[1]) >= job.spec["takes"]:
            cause = "unknown"
        elif any(t.name == name and t.state != "exited" for t in self.tasks.values()):
            cause = "busy"
        elif any(f + 1e-9 < n for f, n in zip(self.free(), job.need())):
            cause = "no_room"
        task = Task(name, attempt, job, "exited" if cause else "pulling", cause)
        self.tasks[(name, attempt)] = task
        self.changed.set()
        if not cause:
            asyncio.ensure_future(self.live(task))

    async def live(self, task):
        spec = task.job.spec
        async with self.fetching:
            if self.is_on(task) and task.state == "pulling" and spec["reel"] not in self.images:
                await asyncio.sleep(spec["pullGb"] / self.type["fetchGbPerS"])
                self.images.add(spec["reel"])
        if not self.is_on(task) or task.state != "pulling":
            return
        others = [m.name for m in self.site.cloud.machines.values() if m is not self and m.has_started(task.name)]
        if others:
            self.site.record.line(f"RAN TWICE: {task.name} starts on {self.name} while it is on {others}")
        task.state = "running"
        task.job.starts.append((task.name, self.name))
        self.changed.set()
        self.site.record.line(f"worker {self.name}: {task.name} try {task.attempt} runs")
        if self.sick:
            await asyncio.sleep(0.2)
            self.exit(task, "error")
        elif task.job.run_s is not None:
            await asyncio.sleep(task.job.run_s)
            self.exit(task, "done")

    def is_on(self, task):
        return self.exists and self.tasks.get((task.name, task.attempt)) is task

    def has_started(self, name):
        return any(t.name == name and t.state in ("running", "flushing") for t in self.tasks.values())

    def exit(self, task, cause):
        if self.is_on(task) and task.state in ("running", "flushing"):
            task.state, task.cause = "exited", cause
            if cause == "done":
                task.job.finished.add(task.name)
            self.changed.set()
            self.site.record.line(f"worker {self.name}: {task.name} try {task.attempt} exited, {cause}")

    async def stop(self, task, grace_s):
        spec = task.job.spec
        if task.state == "running" and spec["markS"] > 0 and grace_s >= spec["stowS"]:
            task.state = "flushing"
            self.changed.set()
            await asyncio.sleep(spec["stowS"])
        if self.is_on(task) and task.state != "exited":
            task.state, task.cause = "exited", "halted"
            self.changed.set()
            self.site.record.line(f"worker {self.name}: {task.name} try {task.attempt} exited, halted")


# --------------------------------------------------------------------------------------------------------- users


class Job:
    """A job and its user. `run_s` is how long a task really runs; None: until it is stopped."""

    def __init__(self, site, name, run_s, **fields):
        self.site, self.name, self.run_s = site, name, run_s
        self.spec = {
            "nameId": name, "lane": "", "crew": "", "shape": "sweep", "rank": "normal", "takes": 1, "cores": 1.0,
            "cards": 0.0, "ramGb": 1.0, "reel": "img-01", "pullGb": 0.2, "rigs": None, "yard": None,
            "together": False, "spread": False, "loaners": False, "expectS": 0.0, "markS": 0.0, "stowS": 0.0,
            "dueS": None,
        } | fields
        self.sent = False
        self.accepted_at = None
        self.starts, self.finished, self.said = [], set(), None
        self.room_since = {}

    def need(self):
        return [self.spec["cores"], self.spec["cards"], self.spec["ramGb"]]

    def task_names(self):
        return [f"{self.name}/{i}" for i in range(self.spec["takes"])]

    async def submit(self):
        """Submits the job as the protocol says, for up to 60 s. Returns whether it was accepted."""
        self.sent = True
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            node = random.choice(self.site.nodes)
            answer = await call(self.site.addresses[node], "POST", "/work", self.spec, SUBMIT_TIMEOUT_S)
            status = answer[0] if answer else None
            self.site.record.line(f"user: POST /work {self.name} to {node}: {status} {answer[2] if answer else ''}")
            if status in (200, 201):
                self.accepted_at = time.monotonic()
                return True
            if status in (400, 422):
                return False
            retry_after = answer[1].get("retry-after", "1") if answer else "1"
            await asyncio.sleep(max(1.0, min(30.0, float(retry_after))))
        return False

    async def poll(self):
        """Polls the job about every 5 s."""
        while True:
            await asyncio.sleep(random.uniform(4.5, 5.5))
            node = random.choice(self.site.nodes)
            answer = await call(self.site.addresses[node], "GET", f"/work/{self.name}", None, POLL_TIMEOUT_S)
            self.said = answer[2] if answer and answer[0] == 200 else self.said
            self.site.record.line(f"user: GET /work/{self.name} from {node}: {answer[0] if answer else None} "
                                  f"{answer[2] if answer else ''}")


# ---------------------------------------------------------------------------------------------------------- site


class Site:
    """A small deployment: its settings, stand-ins and controllers."""

    def __init__(self, folder, zones, facts, machine_type, capacity, boot_s):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="ravenhead-review-")
        self.zones, self.facts = zones, facts
        self.nodes = [f"anchor-{i}" for i in range(facts["size"])]
        self.addresses = {node: free_address(i) for i, node in enumerate(self.nodes)}
        self.internal_addresses = {node: free_address(i) for i, node in enumerate(self.nodes)}
        self.processes = {}
        self.jobs = {}
        self.state = StateService(self.record, facts["state"])
        self.cloud = Cloud(self, machine_type, capacity, boot_s)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.trouble_over_at = None
        self.left_waiting = []

    def settings(self, node):
        def value(v):
            return json.dumps(v)

        def table(name, fields):
            return [f"\n[{name}]"] + [f"{k} = {value(v)}" for k, v in fields.items() if not isinstance(v, dict)]

        def at(address):
            return f"{address[0]}:{address[1]}"

        zone = {n: self.zones[i % len(self.zones)] for i, n in enumerate(self.nodes)}
        lines = [f'node = "{node}"', f'zone = "{zone[node]}"', f'bind = "{at(self.addresses[node])}"',
                 f'internal_addr = "{at(self.internal_addresses[node])}"']
        for other in self.nodes:
            if other != node:
                lines += ["\n[[members]]", f'node = "{other}"', f'zone = "{zone[other]}"',
                          f'address = "{at(self.internal_addresses[other])}"']
        lines += table("external", {"cloud": f"127.0.0.1:{self.cloud.port}", "state": f"127.0.0.1:{self.state.port}"})
        lines += table("facts", {"size": self.facts["size"], "zones": self.zones, "clock_error_ms": 100.0})
        for key in ("teams", "objectives"):
            for entry in self.facts[key]:
                lines += [f"\n[[facts.{key}]]"] + [f"{k} = {value(v)}" for k, v in entry.items()]
        for key in ("workers", "state", "cloud", "machine_limits"):
            lines += table(f"facts.{key}", self.facts[key])
        return "\n".join(lines) + "\n"

    async def start(self):
        await self.state.start()
        await self.cloud.start()
        for node in self.nodes:
            await self.start_controller(node)

    async def start_controller(self, node):
        path = os.path.join(self.folder, f"{node}.toml")
        with open(path, "w") as f:
            f.write(self.settings(node))
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            command = shlex.split(tomllib.load(f)["run"]) + [path]
        log = open(os.path.join(self.folder, f"{node}.log"), "ab")
        self.processes[node] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stderr=log, stdout=log, env=os.environ | {"LOG_LEVEL": "info"})
        log.close()
        self.record.line(f"controller {node}: started")

    async def wait_ready(self, limit_s=15.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answers = await asyncio.gather(*(call(p, "GET", "/ready", None, 1.0) for p in self.addresses.values()))
            if all(a and a[0] == 200 for a in answers):
                self.record.line("all controllers are ready")
                return
            await asyncio.sleep(0.1)
        ended = [n for n, p in self.processes.items() if p.returncode is not None]
        raise CouldNotRun(f"the controllers did not become ready; ended: {ended}")

    def job(self, name, run_s, **fields):
        self.jobs[name] = Job(self, name, run_s, **fields)
        return self.jobs[name]

    def machines(self):
        return [m for m in self.cloud.machines.values() if m.exists]

    async def until(self, what, condition, limit_s):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CouldNotRun(f"not reached within {limit_s} s: {what}")
            await asyncio.sleep(0.05)
        self.record.line(f"reached: {what}")

    async def check_waiting(self):
        """The rule of hunt/LATER.md: once all troubles are over, no job is left waiting for 90 s while a machine that
        fits has room and its team is under its limit. In the cases, no team has a limit or comes near it, and no job is
        cancelled.

        A task waits while it has not ended and is in no state on any machine. The time counts from the end of the
        troubles, and anew whenever no machine that fits has room.
        """
        while True:
            await asyncio.sleep(0.25)
            if self.trouble_over_at is None:
                continue
            now = time.monotonic()
            on_machine = {t.name for m in self.machines() for t in m.tasks.values() if t.state != "exited"}
            for job in self.jobs.values():
                if job.accepted_at is None:
                    continue
                fitting = [m.name for m in self.machines() if m.fits(job)]
                for name in job.task_names():
                    if name in on_machine or name in job.finished or not fitting:
                        job.room_since.pop(name, None)
                        continue
                    since = job.room_since.setdefault(name, max(now, self.trouble_over_at))
                    if now - since >= LEFT_WAITING_S and name not in self.left_waiting:
                        self.left_waiting.append(name)
                        self.record.line(f"RULE BROKEN: {name} has waited for {now - since:.1f} s "
                                         f"while {fitting} had room")

    async def stop(self):
        for node, process in self.processes.items():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for node in self.nodes:
            path = os.path.join(self.folder, f"{node}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as f:
                    for line in f:
                        if any(e in line for e in ("leader_elected", "leader_term_ended", "write_failed", "panicked")):
                            self.record.line(f"log of {node}: {line.strip()[:300]}")
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    pass


def main(folder, make_site, scenario):
    """Runs a case. `scenario(site)` returns whether the rule was broken. Exit code: 1 broken, 0 held, 2 could not run."""

    async def run():
        site = make_site(folder)
        code = 2
        try:
            await site.start()
            watcher = asyncio.ensure_future(site.check_waiting())
            broken = await scenario(site)
            watcher.cancel()
            ended = [n for n, p in site.processes.items() if p.returncode is not None]
            if ended:
                site.record.line(f"controllers that ended by themselves: {ended}")
            code = 1 if broken else 0
            site.record.line("result: " + ("the rule was broken" if broken else "the rule held"))
        except CouldNotRun as e:
            site.record.line(f"result: could not run: {e}")
        finally:
            await site.stop()
        return code

    if not os.path.exists(os.path.join(ROOT, "target", "release", "ravenhead")):
        print("build the service first", file=sys.stderr)
        return 2
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(asyncio.wait_for(run(), 118.0))
    except asyncio.TimeoutError:
        print("took too long", file=sys.stderr)
        return 2
