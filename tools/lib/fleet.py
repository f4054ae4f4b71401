"""Starts and stops an example deployment on loopback: stand-ins, links and nodes.

Use:
    with Fleet("norte", nodes=8) as fleet:
        fleet.wait_ready()
        fleet.kill_node("bilbao-1")
Every process is started by this object and ended by its id.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.parse
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("CHERVIL_BUILD", ROOT / "build" / "release"))
STANDIN = BUILD / "packages/testing/standin/chervil_standin"
DAEMON = BUILD / "packages/daemon/chervilcoursed"
CTL = BUILD / "packages/ctl/chervilctl"

# Peers connect to a node through its link, which adds the latency between data centres.
LINK_OFFSET = 2000
LINK_CONTROL_OFFSET = 1
SECRET = "demo-peer-secret-of-16-or-more"
ADMIN_TOKEN = "demo-admin-token"
START_TIMEOUT_S = 60


def http(method, url, body=None, token=None, timeout=5):
    """Sends a request; returns (status, text). Status 0 means no answer."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method)
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (urllib.error.URLError, OSError):
        return 0, ""


class Fleet:
    def __init__(self, name, nodes=None, waiting=False, settings=None, link=True, keep=False,
                 engines=None, port_offset=0, directory=None):
        """`nodes` and `engines` are numbers; without them, all are started. `port_offset` is added
        to every port, so that two fleets can run on one machine."""
        self.name = name
        self.directory = pathlib.Path(directory or ROOT / "examples" / name)
        self.topology = json.loads((self.directory / "topology.json").read_text())
        self.shift_ports(port_offset)
        self.nodes = self.spread(self.topology["nodes"], nodes)
        self.engine_count = engines
        self.settings = settings or {}
        self.link = link
        self.waiting = waiting
        self.keep = keep
        self.run = pathlib.Path(tempfile.mkdtemp(prefix="chervil-" + name + "-"))
        self.processes = {}
        self.commands = {}
        self.platform = "http://127.0.0.1:%d" % self.topology["platform"]["port"]

    def shift_ports(self, offset):
        topology = self.topology
        for it in [topology["platform"], *topology["nodes"], *topology["engines"],
                   *topology["services"]]:
            for key in ("port", "caller_port", "peer_port", "admin_port"):
                if key in it:
                    it[key] += offset

    @staticmethod
    def spread(nodes, count):
        """The first nodes of each data centre in turn, `count` in all, in the order given."""
        if count is None or count >= len(nodes):
            return nodes
        rank = {}
        seen = {}
        for it in nodes:
            rank[it["name"]] = seen.get(it["data_centre"], 0)
            seen[it["data_centre"]] = rank[it["name"]] + 1
        chosen = sorted(nodes, key=lambda it: rank[it["name"]])[:count]
        return [it for it in nodes if it in chosen]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Processes.

    def spawn(self, name, command):
        self.commands[name] = [str(it) for it in command]
        log = open(self.run / (name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            self.commands[name], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def respawn(self, name):
        self.spawn(name, self.commands[name])

    def signal(self, name, number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        process = self.processes.get(name)
        if process:
            process.wait()

    def is_running(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def stop(self):
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        if not self.keep:
            shutil.rmtree(self.run, ignore_errors=True)

    # Start.

    def vms(self):
        topology = self.topology
        common = {"region": topology["region"], "slots": 0, "checks_fencing": False}
        for it in self.nodes:
            yield {**common, "address": self.caller(it), "role": "node", "target": [],
                   "data_centre": it["data_centre"], "zone": it["zone"], "class": it["class"],
                   "reclaimable": it["reclaimable"], "price_per_hour": it["price_per_hour"]}
        for it in self.engines():
            yield {**common, "address": "127.0.0.1:%d" % it["port"], "role": "model",
                   "target": [it["model"]] if it["model"] else [],
                   "data_centre": it["data_centre"], "zone": it["zone"], "class": it["class"],
                   "reclaimable": it["reclaimable"], "price_per_hour": it["price_per_hour"],
                   "slots": topology["classes"][it["class"]]["slots"],
                   "checks_fencing": it["checks_fencing"], "waiting": it["waiting"]}
        for it in topology["services"]:
            yield {**common, "address": "127.0.0.1:%d" % it["port"], "role": "service",
                   "target": [it["name"]], "data_centre": it["data_centre"], "zone": it["zone"],
                   "class": it["class"], "reclaimable": it["reclaimable"],
                   "price_per_hour": it["price_per_hour"],
                   "slots": topology["classes"][it["class"]]["slots"]}

    def engines(self):
        return [it for it in self.topology["engines"]
                if self.waiting or not it["waiting"]][: self.engine_count]

    def prices(self):
        for centre in self.topology["data_centres"]:
            for zone in centre["zones"]:
                for name, it in self.topology["classes"].items():
                    for reclaimable in (True, False):
                        key = "reclaimable_per_hour" if reclaimable else "on_demand_per_hour"
                        yield {"zone": zone, "class": name, "reclaimable": reclaimable,
                               "price_per_hour": it[key]}

    def ports(self):
        platform = self.topology["platform"]["port"]
        found = [platform, platform + LINK_CONTROL_OFFSET]
        found += [it["port"] for it in self.engines() + self.topology["services"]]
        for it in self.nodes:
            found += [it["caller_port"], it["peer_port"], it["admin_port"],
                      it["peer_port"] + LINK_OFFSET]
        return found

    def check_ports(self):
        """Raises if a port is in use. The stand-ins share ports that are bound already, so two
        fleets on one port would answer each other's calls without an error."""
        for port in self.ports():
            with socket.socket() as it:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    it.bind(("127.0.0.1", port))
                except OSError as error:
                    raise RuntimeError("port %d is in use: is another fleet running?"
                                       % port) from error

    def start(self):
        self.check_ports()
        platform = self.topology["platform"]
        (self.run / "vms.json").write_text(json.dumps(list(self.vms())))
        (self.run / "prices.json").write_text(json.dumps(list(self.prices())))
        self.spawn("platform", [
            STANDIN, "platform", "--port", platform["port"], "--vms", self.run / "vms.json",
            "--prices", self.run / "prices.json", "--boot-ms", platform["boot_ms"],
            "--weight-rate", platform["weight_rate"], "--weight-bytes", platform["weight_bytes"],
            "--weight-waiting", platform["weight_waiting"]])
        for it in self.engines():
            self.start_engine(it)
        for it in self.topology["services"]:
            self.start_service(it)
        if self.link:
            self.start_link()
        self.wait(lambda: http("GET", self.platform + "/control/counters")[0] == 200, "platform")
        self.put_contracts()
        for it in self.nodes:
            self.start_node(it)

    def start_engine(self, it):
        kind = self.topology["classes"][it["class"]]
        command = [
            STANDIN, "model", "--port", it["port"], "--name", it["name"], "--model", it["model"],
            "--slots", kind["slots"], "--step-us", kind["step_us"], "--step-per-seq-us",
            kind["step_per_seq_us"], "--prefill-rate", kind["prefill_rate"], "--cache-tokens",
            kind["cache_tokens"], "--crash-marker", "[crash-engine]"]
        if it["checks_fencing"]:
            command.append("--check-fencing")
        self.spawn(it["name"], command)

    def start_service(self, it):
        name = "%s-%d" % (it["name"], it["port"])
        self.spawn(name, [
            STANDIN, "service", "--port", it["port"], "--name", it["name"], "--slots",
            self.topology["classes"][it["class"]]["slots"], "--executions",
            self.run / (name + ".executions")])

    def start_link(self):
        delay = self.topology["latency_ms"]["between_data_centres"]
        routes = [{"name": it["name"], "listen": it["peer_port"] + LINK_OFFSET,
                   "to": "127.0.0.1:%d" % it["peer_port"], "delay_ms": delay}
                  for it in self.nodes]
        (self.run / "routes.json").write_text(json.dumps(routes))
        self.spawn("link", [STANDIN, "link", "--routes", self.run / "routes.json", "--control",
                            self.topology["platform"]["port"] + LINK_CONTROL_OFFSET])

    def node_settings(self, it):
        peer = it["peer_port"] + (LINK_OFFSET if self.link else 0)
        seeds = ["127.0.0.1:%d" % (n["peer_port"] + (LINK_OFFSET if self.link else 0))
                 for n in self.nodes[:4]]
        sections = {
            "node": {
                "name": it["name"], "region": self.topology["region"],
                "data_centre": it["data_centre"], "peer_listen": "127.0.0.1:%d" % it["peer_port"],
                "peer_advertise": "127.0.0.1:%d" % peer, "caller_listen": self.caller(it),
                "admin_listen": "127.0.0.1:%d" % it["admin_port"], "seeds": ", ".join(seeds),
                "peer_secret": SECRET, "admin_token": ADMIN_TOKEN},
            "platform": {"kv_url": self.platform, "vms_url": self.platform,
                         "cloud_url": self.platform, "weights_url": self.platform},
            "testing": {"fatal_invariants": "true"},
        }
        for section, keys in self.settings.items():
            sections.setdefault(section, {}).update(keys)
        lines = []
        for section, keys in sections.items():
            lines.append("[%s]" % section)
            lines += ["%s = %s" % pair for pair in keys.items()]
        return "\n".join(lines) + "\n"

    def start_node(self, it):
        path = self.run / (it["name"] + ".ini")
        path.write_text(self.node_settings(it))
        self.spawn(it["name"], [DAEMON, "--settings", path])

    def put_contracts(self):
        """Writes the contracts and the head as an operator's tool does."""
        head = {"version": 0, "contracts": {}}
        for path in sorted((self.directory / "contracts").glob("*.json")):
            terms = json.loads(path.read_text())
            document = {"version": 1, "change": "initial-" + terms["customer"], "author": "setup",
                        "time_ms": int(time.time() * 1000), "contract": terms, "history": []}
            key = "config/contracts/" + terms["customer"]
            status, text = http("PUT", "%s/v1/kv/%s?if_revision=0" % (self.platform, key),
                                json.dumps(document))
            if status != 200:
                raise RuntimeError("cannot store contract %s: %d %s" % (key, status, text))
            head["version"] += 1
            head["contracts"][terms["customer"]] = 1
        http("PUT", self.platform + "/v1/kv/config/head?if_revision=0", json.dumps(head))

    # State.

    @staticmethod
    def caller(it):
        return "127.0.0.1:%d" % it["caller_port"]

    @staticmethod
    def admin(it):
        return "http://127.0.0.1:%d" % it["admin_port"]

    def node(self, name):
        return next(it for it in self.nodes if it["name"] == name)

    def callers(self):
        return [self.caller(it) for it in self.nodes if self.is_running(it["name"])]

    def service_urls(self):
        return ["http://127.0.0.1:%d" % it["port"] for it in self.topology["services"]]

    def wait(self, condition, what, timeout=START_TIMEOUT_S):
        end = time.time() + timeout
        while not condition():
            if time.time() > end:
                raise RuntimeError("%s: not ready within %d s; logs in %s"
                                   % (what, timeout, self.run))
            time.sleep(0.1)

    def is_ready(self, it):
        return http("GET", self.admin(it) + "/readyz")[0] == 200

    def standbys_ready(self):
        status, text = http("GET", self.platform + "/v1/kv/shards/map")
        if status != 200:
            return False
        shards = json.loads(json.loads(text)["value"])["shards"]
        return all(it[3] for it in shards)

    def wait_ready(self):
        for it in self.nodes:
            if self.is_running(it["name"]):
                self.wait(lambda it=it: self.is_ready(it), it["name"])
        self.wait(self.standbys_ready, "standbys")

    def metrics(self, it):
        """Metrics of a node as {name{labels}: value}."""
        values = {}
        for line in http("GET", self.admin(it) + "/metrics")[1].splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values

    # Faults.

    def control(self, path, port=None):
        base = "http://127.0.0.1:%d" % port if port else self.platform
        return http("POST", base + "/control/" + path, b"")

    def vm_ids(self):
        vms = json.loads(http("GET", self.platform + "/control/vms")[1])["vms"]
        return {it["address"]: it["id"] for it in vms if it["state"] != "gone"}

    def kill_node(self, name, vm_gone_after=None):
        """Kills a node's process without notice; its VM fails with it if a time is given."""
        self.kill(name)
        if vm_gone_after is not None:
            time.sleep(vm_gone_after)
            vm = self.vm_ids().get(self.caller(self.node(name)))
            if vm:
                self.control("reclaim?notice_s=0&vm=" + urllib.parse.quote(vm))

    def in_zone(self, zone):
        """Names of the running processes on VMs of a zone that can be reclaimed."""
        names = [it["name"] for it in self.nodes + self.engines()
                 if it["zone"] == zone and it["reclaimable"]]
        return [it for it in names if self.is_running(it)]

    def reclaim_zone(self, zone, notice_s):
        """Reclaims the zone's VMs and kills their processes when the notice is over."""
        names = self.in_zone(zone)
        self.control("reclaim?zone=%s&notice_s=%d" % (zone, notice_s))
        end = time.time() + notice_s
        while time.time() < end:
            time.sleep(0.05)
        for name in names:
            self.kill(name)
        return names

    def vm_of(self, name):
        """The VM, as it is registered, of a node or back end."""
        addresses = {it["name"]: self.caller(it) for it in self.nodes}
        addresses.update((it["name"], "127.0.0.1:%d" % it["port"]) for it in self.engines())
        return next(it for it in self.vms() if it["address"] == addresses[name])

    def restart_on_new_vm(self, name):
        """Starts a node or model engine again on a new VM."""
        http("POST", self.platform + "/control/register", json.dumps(self.vm_of(name)))
        self.respawn(name)


class Load:
    """A run of chervilctl load in the background."""

    def __init__(self, fleet, seconds, callers=24, seed=1, extra=(), workload=None):
        self.report = fleet.run / ("load-%d.json" % seed)
        self.output = open(fleet.run / ("load-%d.txt" % seed), "w+")
        self.process = subprocess.Popen(
            [str(CTL), "load", "--entry", ",".join(fleet.callers()), "--workload",
             str(workload or fleet.directory / "workload.json"), "--callers", str(callers), "--duration-s",
             str(seconds), "--seed", str(seed), "--verify", ",".join(fleet.service_urls()),
             "--json", str(self.report), *extra],
            stdout=self.output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def wrong(self):
        """Answers whose text was not the expected one."""
        return json.loads(self.report.read_text())["totals"]["wrong"]

    def wait(self, timeout):
        """Waits for the end; returns the counts of the last line."""
        try:
            self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.output.seek(0)
        self.text = self.output.read()
        self.output.close()
        lines = [it for it in self.text.splitlines() if it.startswith("load: requests=")]
        if not lines:
            raise RuntimeError("the load tool gave no result:\n" + self.text)
        return {key: int(value)
                for key, value in (it.split("=") for it in lines[-1].split()[1:])}
