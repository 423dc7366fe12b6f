#!/usr/bin/env python3
"""Drill for rule ORDER: releases of software versions while routers are out of step, with real processes.

Starts the platform's stand-in and routers, and runs streaming servers and clients in this process. Replaces the servers
of one pool after the other by a new version while routers are stopped, cut off or killed, or the store is away. A seed
fails if a stream, over all tries of its client, holds events of two versions; its logs are kept.

usage: stream_versions.py BINARY FOLDER SEED...
"""
import asyncio, base64, json, os, random, re, shutil, signal, socket, sys, time
from pathlib import Path

HOST, LOCAL, POOLS, SERVERS, CLIENTS, EVENTS = "api.example", "127.0.0.1", ("a", "b", "c"), 4, 14, 25
EVENT_SECONDS, CLIENT_SECONDS = 0.1, 8.0
DRAIN_SECONDS = 2.0  # The platform's drain-ms.
CALM_SECONDS = 4.0  # The platform's contact-ms, and a second more.
BREAK_SHARE = 0.04  # Share of events after which the server breaks its stream; the same for the client's channel.
JAVA = "-Dvertx.disableDnsResolver=true -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
LOST = (OSError, EOFError, asyncio.TimeoutError)
START_SECONDS = 60
used_ports = set()


def free_port():
    while True:
        port = random.SystemRandom().randrange(20_000, 30_000)
        if port in used_ports:
            continue
        used_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((LOCAL, port))
            return port
        except OSError:
            pass


async def read_message(reader):
    """Reads the head of an HTTP message, and its body if it has a length."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)}
    return first, fields, await reader.readexactly(int(fields.get("content-length", 0)))


async def call(port, method, path, content=None):
    """Calls an HTTP server; returns whether it has answered with status 200."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(LOCAL, port)
        body = json.dumps(content or {}).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        return " 200 " in (await asyncio.wait_for(read_message(reader), 1))[0]
    except LOST:
        return False
    finally:
        if writer:
            writer.transport.abort()


class Server:
    """A server that streams numbered events with its version."""

    def __init__(self, drill, pool, name, version, port):
        self.drill, self.pool, self.name, self.version, self.port = drill, pool, name, version, port
        self.state, self.sequence, self.writers, self.born = "ready", 0, set(), int(time.time() * 1000)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOCAL, self.port)
        await self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    async def beat(self):
        self.sequence += 1
        return await self.drill.put(f"servers/{self.name}", {
            "service": self.pool, "address": f"{LOCAL}:{self.port}", "zone": "z1", "version": self.version, "slots": 64,
            "state": self.state, "cold-left-ms": 0, "sequence": self.sequence, "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def drain(self):
        self.state = "draining"
        while not await self.beat():
            await asyncio.sleep(0.2)
        await asyncio.sleep(DRAIN_SECONDS + 0.3)
        await self.stop(removes=True)

    async def stop(self, removes):
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        while removes and not await self.drill.transact(removed=[f"servers/{self.name}"]):
            await asyncio.sleep(0.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, _ = await read_message(reader)
                if first.startswith("POST"):
                    await self.stream(fields, writer)
                else:
                    head = f"HTTP/1.1 200 OK\r\nX-Azuredale-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
                    writer.write(head.encode())
        except LOST:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def stream(self, fields, writer):
        number = int(fields.get("last-event-id", 0))
        writer.write(f"HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: {fields['x-azuredale-request-id']}\r\n"
                     "X-Azuredale-Response-Stamp: 1\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        while number < EVENTS:
            await asyncio.sleep(EVENT_SECONDS)
            if writer.transport.is_closing() or self.drill.random.random() < BREAK_SHARE:
                raise ConnectionError
            number += 1
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
        writer.write(b"0\r\n\r\n")


class Router:
    """A router process whose store calls and datagrams pass through this process, which may cut them off."""

    def __init__(self, drill, index):
        self.drill, self.index, self.process, self.starts = drill, index, None, 0
        self.front, self.ready, self.directory, self.peer, self.store = (free_port() for _ in range(5))
        self.is_store_cut, self.is_peers_cut, self.connections = False, False, set()
        self.disturbed_until, self.refuses_calls = 0.0, False

    async def open(self):
        await asyncio.start_server(self.relay_store, LOCAL, self.store)
        loop = asyncio.get_running_loop()
        _, self.link = await loop.create_datagram_endpoint(lambda: Link(self), local_addr=(LOCAL, free_port()))

    async def start(self):
        self.starts += 1
        settings = {
            "node": f"r{self.index}", "ip": LOCAL, "zone": f"z{self.index % 3}", "region": "south",
            "zones.z0": "south", "zones.z1": "south", "zones.z2": "south", "port-range": f"{self.peer},{self.peer}",
            "listen.front": f"{LOCAL}:{self.front}", "listen.ready": f"{LOCAL}:{self.ready}",
            "listen.directory": f"{LOCAL}:{self.directory}", "platform.address": f"{LOCAL}:{self.store}",
            "bootstrap": "true" if self.starts == 1 else "false", "bounds.contact-ms": 3000, "bounds.revoke-ms": 5000,
            "bounds.drain-ms": int(DRAIN_SECONDS * 1000), "bounds.config-apply-ms": 2000, "bounds.retry-headroom": 54}
        path = self.drill.folder / f"r{self.index}.settings"
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        self.process = await self.drill.spawn(f"r{self.index}-{self.starts}", "gateway", "--settings", str(path))

    async def relay_store(self, reader, writer):
        self.connections.add(writer)
        upstream = None
        try:
            if self.refuses_calls:
                raise ConnectionError
            source, upstream = await asyncio.open_connection(LOCAL, self.drill.platform_port)
            while True:
                for origin, target in ((reader, upstream), (source, writer)):
                    first, fields, body = await read_message(origin)
                    while self.is_store_cut:
                        await asyncio.sleep(0.05)
                    body = self.with_links(body) if origin is source else body
                    fields["content-length"] = str(len(body))
                    head = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
                    target.write(head.encode("latin-1") + body)
        except LOST:
            pass
        finally:
            self.connections.discard(writer)
            for end in filter(None, (writer, upstream)):
                end.transport.abort()

    def with_links(self, body):
        """Replaces the addresses of the routers, as registered in the store, by those of their links."""
        for router in self.drill.routers:
            address = base64.b64encode(f"{LOCAL}:{router.peer}".encode())
            body = body.replace(address, base64.b64encode(f"{LOCAL}:{router.link.port}".encode()))
        return body

    def cut_store(self, is_cut, closes):
        self.is_store_cut, self.refuses_calls = is_cut, is_cut and closes
        for writer in list(self.connections) if closes else ():
            writer.transport.abort()


class Link(asyncio.DatagramProtocol):
    """The address of a router for the others: what they send there is passed on as if from their own links."""

    def __init__(self, router):
        self.router = router

    def connection_made(self, transport):
        self.transport, self.port = transport, transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, source):
        sender = next((other for other in self.router.drill.routers if other.peer == source[1]), None)
        if sender and not sender.is_peers_cut and not self.router.is_peers_cut:
            sender.link.transport.sendto(data, (LOCAL, self.router.peer))


class Drill:
    def __init__(self, binary, folder, seed):
        self.binary, self.folder, self.seed, self.started = binary, folder, seed, time.time()
        self.random, self.disturbances = random.Random(f"{seed} streams"), 0
        self.platform_port, self.calm_from, self.notes, self.violations = free_port(), 0.0, [], []
        self.streams, self.went_on, self.servers, self.modes = 0, {"calm": [0, 0], "disturbed": [0, 0]}, {}, {}
        self.routers = []
        self.routers += [Router(self, index) for index in range(self.planner("routers").choice((4, 5)))]

    def note(self, text):
        self.notes.append(f"{time.time() - self.started:.2f} {text}")

    def planner(self, name):
        """Random numbers that do not depend on the order of events, so that two programs get the same plan."""
        return random.Random(f"{self.seed} {name}")

    async def spawn(self, name, *arguments):
        with open(self.folder / f"{name}.log", "wb") as log:
            variables = dict(os.environ, AZUREDALE_LOG_LEVEL="INFO", AZUREDALE_JAVA_OPTIONS=JAVA)
            return await asyncio.create_subprocess_exec(
                self.binary, *arguments, stdout=log, stderr=log, env=variables)

    async def transact(self, puts=(), removed=()):
        order = {"expected-revision": [], "puts": list(puts), "remove": list(removed)}
        return await call(self.platform_port, "POST", "/azuredale/kv-txn", order)

    async def put(self, key, content):
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return await self.transact([{"key": key, "value": value, "lease": 0}])

    async def control(self, **order):
        return await call(self.platform_port, "POST", "/control", order)

    async def put_configuration(self):
        routes = [{"name": f"{pool}{tries}", "host": HOST, "path-prefix": f"/{pool}{tries}/", "kind": "streaming",
                   "service": pool, "timeout-ms": int(CLIENT_SECONDS * 1000), "target-latency-ms": 1000,
                   "max-attempts": tries, "allow-anonymous": True, "stream-resume": True, "gap-aim-ms": 500}
                  for pool in POOLS for tries in (1, 3)]
        services = [{"name": pool} for pool in POOLS]
        while not await self.put("op/config", {"version": 7, "routes": routes, "services": services, "tenants": []}):
            await asyncio.sleep(0.2)

    async def add(self, pool, name, version, port=0):
        server = Server(self, pool, name, version, port or free_port())
        await server.start()
        self.servers.setdefault(pool, []).append(server)

    async def release(self, pool):
        """Replaces the servers of a pool: in steps, at once, or by starting each again under its own id."""
        plan, old, self.servers[pool], ends = self.planner(f"release {pool}"), self.servers[pool], [], []
        mode = self.modes[pool] = plan.choices(("steps", "at once", "same id", "same address"), (5, 4, 2, 1))[0]
        self.note(f"release of {pool}: {mode}")
        is_drained = plan.random() < 0.7
        for server in old:
            if mode.startswith("same"):
                await server.stop(removes=False)
                await asyncio.sleep(plan.uniform(0.1, 1.0))
                await self.add(pool, server.name, "2", server.port if mode == "same address" else 0)
            else:
                await self.add(pool, server.name + "-2", "2")
                end = server.drain() if is_drained or mode == "steps" else server.stop(removes=True)
                ends.append(end if mode == "at once" else asyncio.create_task(end))
            await asyncio.sleep(0 if mode == "at once" else plan.uniform(0.3, 1.5))
        await asyncio.gather(*ends)

    async def disturb_twice(self):
        await self.disturb()
        await self.disturb()

    async def disturb(self):
        self.disturbances += 1
        plan = self.planner(f"disturbance {self.disturbances}")
        kind = plan.choice(
            ("stop", "stop", "cut", "cut", "cut", "cut", "cut store", "cut peers", "kill", "away", "copy"))
        routers = [] if kind in ("away", "copy") else plan.sample(self.routers, plan.choice((1, 1, 2)))
        seconds, closes = plan.triangular(0.5, 6, 5), plan.random() < 0.5
        self.note(f"{kind} for {seconds:.2f} s: {[router.index for router in routers]}")
        self.calm_from = time.time() + seconds + CALM_SECONDS
        if kind == "copy":
            await self.control(copy=True)
            await asyncio.sleep(1)
        if not routers:
            await self.control(down=True)
        for router in routers:
            router.disturbed_until = time.time() + seconds + 1.5
            router.cut_store(kind in ("cut", "cut store"), closes)
            router.is_peers_cut = kind in ("cut", "cut peers")
            if kind == "stop":
                router.process.send_signal(signal.SIGSTOP)
            if kind == "kill":
                router.process.kill()
                await router.process.wait()
        await asyncio.sleep(seconds)
        for router in routers:
            router.cut_store(False, closes=kind in ("cut", "cut store"))
            router.is_peers_cut = False
            router.process.send_signal(signal.SIGCONT) if kind == "stop" else None
            await router.start() if kind == "kill" else None
        if not routers:
            await self.control(restore=kind == "copy")
            await self.put_configuration()
        self.calm_from = time.time() + CALM_SECONDS

    def pick(self, is_resumed):
        disturbed = [router for router in self.routers if time.time() < router.disturbed_until]
        prefers = disturbed and is_resumed and self.random.random() < 0.6
        return self.random.choice(disturbed if prefers else self.routers)

    async def client(self, pool):
        """Reads streams, each over several tries, and counts the breaks after which they go on."""
        while True:
            path, deadline = f"/{pool}{self.random.choice((1, 3))}/x", time.time() + CLIENT_SECONDS
            begun, rows, broken = None, [], None
            while time.time() < deadline and (not rows or rows[-1][0] < EVENTS):
                known, attempt = len(rows), f"{self.random.getrandbits(64):016x}"
                wait = await self.attempt(self.pick(bool(rows)), path, attempt, begun, rows, deadline)
                if len(rows) > known:
                    begun = begun or attempt
                    if broken:
                        self.went_on[broken][0] += 1
                        self.went_on[broken][1] += 1
                    broken = None
                if rows and not broken and rows[-1][0] < EVENTS and deadline - time.time() > 3:
                    mates = [it for it in self.servers[pool] if it.version == rows[0][1] and it.state == "ready"]
                    broken = "calm" if time.time() > self.calm_from and len(mates) >= 2 else "disturbed"
                await asyncio.sleep(min(wait, max(0.0, deadline - time.time()) / 3))
            self.streams += bool(rows)
            if broken:
                self.went_on[broken][1] += 1
            if len({version for _, version, *_ in rows}) > 1:
                self.violations.append({"begun": begun, "mode": self.modes[pool], "rows": rows})
            await asyncio.sleep(0.1)

    async def attempt(self, router, path, attempt, begun, rows, deadline):
        """Sends one try and adds what it brings to rows; returns how long to wait before the next one."""
        writer = None
        try:
            resumes = f"Last-Event-Id: {rows[-1][0]}\r\nResumes: {begun}\r\n" if rows else ""
            reader, writer = await asyncio.wait_for(asyncio.open_connection(LOCAL, router.front), 1)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Azuredale-Request-Id: {attempt}\r\n{resumes}"
                         f"X-Azuredale-Deadline-Ms: {int((deadline - time.time()) * 1000)}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)).decode("latin-1")
            if " 200 " not in head.split("\r\n")[0]:
                after = re.search(r"(?i)\nretry-after: *([0-9.]+)", head)
                return float(after[1]) if after else 0.2
            while not rows or rows[-1][0] < EVENTS:
                event = (await asyncio.wait_for(reader.readuntil(b"\n\n"), 2)).decode("latin-1")
                number, version, server = re.search(r"id: (\d+)\ndata: (\S+) (\S+)", event).groups()
                at = round(time.time() - self.started, 2)
                rows.append((int(number), version, server, router.index, attempt, at))
                if self.random.random() < BREAK_SHARE:
                    return 0.0
        except LOST:
            pass
        finally:
            if writer:
                writer.transport.abort()
        return 0.05

    async def run(self):
        self.platform = await self.spawn("platform", "stand-in", "platform", "--port", str(self.platform_port))
        tasks = []
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await asyncio.wait_for(self.put_configuration(), 30)
            for pool in POOLS:
                for number in range(SERVERS):
                    await self.add(pool, f"{pool}{number}", "1")
            for router in self.routers:
                await router.open()
            for router in self.routers:
                await router.start()
            async with asyncio.timeout(START_SECONDS):
                for router in self.routers:
                    while not await call(router.ready, "GET", "/azuredale/ready"):
                        await asyncio.sleep(0.1)
            tasks += [asyncio.create_task(self.client(pool)) for pool in POOLS for _ in range(CLIENTS)]
            await asyncio.sleep(6)
            for pool in POOLS:
                plan = self.planner(pool)
                steps = [self.disturb_twice(), self.release(pool)]
                first, second = steps if plan.random() < 0.75 else reversed(steps)
                first = asyncio.create_task(first)
                await asyncio.sleep(plan.uniform(0, 1))
                await second
                await asyncio.gather(first, asyncio.sleep(CALM_SECONDS + 3))
        finally:
            for task in tasks:
                task.cancel()
            for process in [self.platform] + [router.process for router in self.routers if router.process]:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            for server in sum(self.servers.values(), []):
                await server.stop(removes=False)
            await asyncio.sleep(2 * EVENT_SECONDS)


def main():
    binary, folder, *seeds = sys.argv[1:]
    has_failed = False
    for seed in seeds:
        logs = Path(folder) / f"seed-{seed}"
        shutil.rmtree(logs, ignore_errors=True)
        logs.mkdir(parents=True)
        drill = Drill(os.path.abspath(binary), logs, int(seed))
        try:
            asyncio.run(drill.run())
        except TimeoutError:
            print(f"seed {seed}: not run, a process did not start", flush=True)
            has_failed = True
            continue
        shares = " ".join(f"{name}={went}/{all}" for name, (went, all) in drill.went_on.items())
        joined = [(violation["mode"], violation["begun"]) for violation in drill.violations]
        print(f"seed {seed}: {'FAILED' if joined else 'ok'} streams={drill.streams} went on: {shares} joined={joined}"
              f" {drill.notes}", flush=True)
        has_failed = has_failed or bool(joined)
        (logs / "violations.json").write_text(json.dumps(drill.violations)) if joined else shutil.rmtree(logs)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
