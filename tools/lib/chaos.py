"""The fault injection run of tools/chaos.

Faults are drawn from the seed alone, before the run: their times, kinds and parameters. Which node
or engine a fault meets is drawn when it begins, from the fault's own seed, among those that no
other fault holds.
"""

import argparse
import json
import random
import shutil
import signal
import sys
import threading
import time
import urllib.error
import urllib.request
import uuid

from fleet import LINK_CONTROL_OFFSET, Fleet, Load, http

NODES = 7
ENGINES = 12
# 11000 to 14999: apart from the ports of tools/demo (21000 to 24999) and tools/bench (from 26000).
PORT_OFFSET = -10000
NOTICE_S = 5
# A request without an answer for this long is lost. Twice the longest time the fleet gets to become
# whole.
GIVE_UP_S = 120
# Section 1.1 of the design page, invariant 5.
LATE_S = 3
# At least this many nodes run undisturbed, so that callers have somewhere to go.
NODES_FREE = 3
MEAN_GAP_S = 2.5
CRASH_GAP_S = 60
# Engines that one crashing request may take with it.
DEATHS_MAX = 2
WHOLE_TIMEOUT_S = 60
# Longest answer of the run. One of 4000 tokens takes 80 s, longer than most runs.
MAX_TOKENS = 1200
RESTART_MAX_TOKENS = 200
RESTART_LOAD_S = 6
# Section 1.1 of the design page, invariant 7.
APPLY_S = 6


class Chaos:
    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.seed = seed
        self.seconds = seconds
        self.begin = time.time()
        self.lock = threading.Lock()
        self.busy = set()
        self.down = set()
        self.ending = threading.Event()
        self.faults = 0
        self.failures = []
        self.late = 0
        self.late_seen = set()
        self.announced = {}
        self.reverted = 0
        self.versions = {}
        self.accepted = {}
        self.racing = set()
        self.deaths = 0
        self.crash_requests = 0

    # Report.

    def say(self, text):
        with self.lock:
            print("chaos: %7.2f %s" % (time.time() - self.begin, text), flush=True)

    def fail(self, text):
        self.failures.append(text)
        self.say("FAILED: " + text)

    def fault(self, text):
        with self.lock:
            self.faults += 1
        self.say("fault: " + text)

    # Targets.

    def node_names(self):
        return [it["name"] for it in self.fleet.nodes]

    def engine_names(self):
        return [it["name"] for it in self.fleet.engines()]

    def take(self, names):
        """Reserves all the names, or none if one is taken or too few nodes would be left."""
        nodes = set(self.node_names())
        with self.lock:
            if self.busy & set(names):
                return False
            held = nodes & (self.busy | set(names))
            if nodes & set(names) and len(nodes) - len(held) < NODES_FREE:
                return False
            self.busy |= set(names)
            return True

    def take_one(self, rng, names):
        for it in rng.sample(names, len(names)):
            if self.take([it]):
                return it
        return None

    def release(self, names):
        with self.lock:
            self.busy -= set(names)

    # Faults. Each runs in a thread and ends what it began.

    def kill_node(self, rng):
        name = self.take_one(rng, self.node_names())
        if not name:
            return
        gone, back = rng.uniform(0.5, 4), rng.uniform(1, 8)
        self.fault("SIGKILL of node %s, VM gone after %.1f s, back after %.1f s more"
                   % (name, gone, back))
        self.fleet.kill_node(name, vm_gone_after=gone)
        self.sleep(back)
        self.fleet.restart_on_new_vm(name)
        self.await_node(name)

    def pause_node(self, rng):
        name = self.take_one(rng, self.node_names())
        if not name:
            return
        length = rng.uniform(4, 15)
        self.fault("SIGSTOP of node %s for %.1f s" % (name, length))
        self.fleet.signal(name, signal.SIGSTOP)
        self.sleep(length)
        self.fleet.signal(name, signal.SIGCONT)
        self.say("SIGCONT of node %s" % name)
        time.sleep(1)
        self.release([name])

    def stop_node(self, rng):
        name = self.take_one(rng, self.node_names())
        if not name:
            return
        self.fault("SIGTERM of node %s" % name)
        self.planned_restart(name, 120)
        self.await_node(name)

    def link(self, rng):
        name = self.take_one(rng, self.node_names())
        if not name:
            return
        kind, length = rng.choice(["cut", "stall"]), rng.uniform(1, 12)
        self.fault("link to %s: %s for %.1f s" % (name, kind, length))
        port = self.fleet.topology["platform"]["port"] + LINK_CONTROL_OFFSET
        self.fleet.control("%s?on=true&name=%s" % (kind, name), port)
        self.sleep(length)
        self.fleet.control("%s?on=false&name=%s" % (kind, name), port)
        self.say("link to %s: %s ends" % (name, kind))
        self.release([name])

    def platform_switch(self, name, text, length, on, off):
        if not self.take([name]):
            return
        self.fault(text)
        self.fleet.control(on)
        self.sleep(length)
        if off:
            self.fleet.control(off)
            self.say("%s ends" % name)
        self.release([name])

    def kv_outage(self, rng):
        mode, length = rng.choice(["refuse", "hang"]), rng.uniform(2, 20)
        self.platform_switch("kv outage", "key-value outage (%s) for %.1f s" % (mode, length),
                             length, "outage?service=kv&mode=" + mode,
                             "outage?service=kv&mode=off")

    def kv_latency(self, rng):
        ms, length = rng.choice([100, 500, 1500]), rng.uniform(3, 12)
        self.platform_switch("kv latency", "key-value latency %d ms for %.1f s" % (ms, length),
                             length, "latency?service=kv&ms=%d" % ms, "latency?service=kv&ms=0")

    def lost_answers(self, rng):
        n = rng.randint(1, 6)
        self.platform_switch("lost answers", "answers of the next %d writes are lost" % n, 1,
                             "lose_answers?writes=%d" % n, "lose_answers?writes=0")

    def vm_lag(self, rng):
        ms, length = rng.choice([500, 2000, 5000]), rng.uniform(5, 15)
        self.platform_switch("VM list lag", "VM list lags %d ms for %.1f s" % (ms, length),
                             length, "vm_lag?ms=%d" % ms, "vm_lag?ms=0")

    def refuse_vms(self, rng):
        length = rng.uniform(5, 20)
        self.platform_switch("VM refusal", "VMs refused in all zones for %.1f s" % length, length,
                             "refuse?zone=*&on=true", "refuse?zone=*&on=false")

    def reclaim_zone(self, rng):
        zones = sorted(it for centre in self.fleet.topology["data_centres"]
                       for it in centre["zones"])
        for zone in rng.sample(zones, len(zones)):
            names = [it["name"] for it in self.fleet.nodes + self.fleet.engines()
                     if it["zone"] == zone and it["reclaimable"]]
            if names and self.take(names):
                break
        else:
            return
        back = rng.uniform(2, 10)
        self.fault("zone %s is reclaimed with %d s notice: %s" % (zone, NOTICE_S, ", ".join(names)))
        engines = [it for it in self.fleet.engines() if it["name"] in names]
        announced = time.time()
        self.fleet.control("reclaim?zone=%s&notice_s=%d" % (zone, NOTICE_S))
        # The log is read until the last moment; it ends with the process.
        while time.time() < announced + NOTICE_S:
            if time.time() > announced + LATE_S:
                for it in engines:
                    self.count_late(it, announced)
            time.sleep(0.1)
        for name in names:
            self.fleet.kill(name)
        self.say("zone %s is gone" % zone)
        self.sleep(back)
        for name in names:
            self.fleet.restart_on_new_vm(name)
        self.say("zone %s is back on new VMs" % zone)
        for name in names:
            if name in self.node_names():
                self.await_node(name)
        self.release(names)

    def count_late(self, engine, announced):
        status, text = http("GET", "http://127.0.0.1:%d/control/log" % engine["port"], timeout=1)
        if status != 200:
            return
        for it in json.loads(text)["requests"]:
            after = it["started_ms"] / 1000 - announced
            key = (engine["name"], it["request_id"], it["started_ms"])
            if it["started_ms"] and after > LATE_S and key not in self.late_seen:
                self.late_seen.add(key)
                self.late += 1
                self.say("FAILED: request %s started on leaving engine %s %.2f s after the notice,"
                         " arrived %.2f s after it" % (it["request_id"], engine["name"], after,
                                                       it["arrived_ms"] / 1000 - announced))

    def kill_engine(self, rng):
        services = [it for it in self.fleet.processes
                    if it.startswith(self.fleet.topology["services"][0]["name"] + "-")]
        name = self.take_one(rng, self.engine_names() + services)
        if not name:
            return
        back = rng.uniform(1, 6)
        self.fault("SIGKILL of engine %s, back after %.1f s" % (name, back))
        self.fleet.kill(name)
        self.sleep(back)
        self.fleet.respawn(name)
        self.release([name])

    def slow_engine(self, rng):
        name = self.take_one(rng, self.engine_names())
        if not name:
            return
        factor, length = rng.choice([3, 5, 20]), rng.uniform(4, 15)
        port = next(it["port"] for it in self.fleet.engines() if it["name"] == name)
        self.fault("engine %s is slowed %d times for %.1f s" % (name, factor, length))
        self.fleet.control("slow?factor=%d" % factor, port)
        self.sleep(length)
        self.fleet.control("slow?factor=1", port)
        self.release([name])

    def crash_request(self, rng):
        workload = json.loads((self.fleet.directory / "workload.json").read_text())
        kind = next(it for it in workload["kinds"] if it["type"] == "model")
        node = self.fleet.node(rng.choice(self.node_names()))
        body = {"model": kind["model"], "max_tokens": 50, "messages": [
            {"role": "user", "content": "[crash-engine] %d" % rng.getrandbits(32)}]}
        self.crash_requests += 1
        self.fault("a request that crashes engines is sent to %s" % node["name"])
        request = urllib.request.Request(
            "http://%s/v1/chat/completions" % self.fleet.caller(node),
            data=json.dumps(body).encode(), headers={
                "Authorization": "Bearer " + workload["customers"][0]["token"],
                "Idempotency-Key": str(uuid.uuid4()), "Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                text = "%d" % answer.status
        except urllib.error.HTTPError as error:
            text = "%d %s" % (error.code, error.read().decode()[:200])
        except OSError as error:
            text = str(error)
        self.say("the crashing request ended with: " + text)

    def race(self, rng):
        """Two operators change one contract from the same version."""
        customers = sorted(it.stem for it in (self.fleet.directory / "contracts").glob("*.json"))
        customer = rng.choice(customers)
        if not self.take(["contract " + customer]):
            return
        self.fault("two operators race on contract " + customer)
        document = self.read("config/contracts/" + customer)
        if document:
            operators = [threading.Thread(target=self.change, args=(customer, who, document))
                         for who in ("first", "second")]
            for it in operators:
                it.start()
            for it in operators:
                it.join()
        self.release(["contract " + customer])

    def read(self, key, tries=40):
        """(value, revision) of a key; None if the service stays away."""
        for _ in range(tries):
            status, text = http("GET", "%s/v1/kv/%s" % (self.fleet.platform, key), timeout=2)
            if status == 200:
                answer = json.loads(text)
                return json.loads(answer["value"]), answer["revision"]
            time.sleep(0.5)
        return None

    def swap(self, key, value, revision):
        return http("PUT", "%s/v1/kv/%s?if_revision=%d" % (self.fleet.platform, key, revision),
                    json.dumps(value), timeout=4)[0]

    def change(self, customer, who, read):
        document, revision = read
        change = str(uuid.uuid4())
        history = [{key: document[key] for key in ("version", "change", "author", "time_ms")}]
        new = {"version": document["version"] + 1, "change": change, "author": who,
               "time_ms": int(time.time() * 1000), "contract": dict(document["contract"]),
               "history": (history + document["history"])[:32]}
        new["contract"]["cost_per_hour"] = round(document["contract"]["cost_per_hour"] + 0.01, 2)
        key = "config/contracts/" + customer
        status = self.swap(key, new, revision)
        if status != 200:
            # A lost answer is resolved by the change id, as the design page says.
            now = self.read(key)
            known = now and [now[0]["change"]] + [it["change"] for it in now[0]["history"]]
            if not known or change not in known:
                self.say("operator %s: contract %s, change refused or not written (%d)"
                         % (who, customer, status))
                return
        self.raise_head(customer, new["version"], who)

    def raise_head(self, customer, version, who):
        for _ in range(40):
            read = self.read("config/head")
            if not read:
                return
            head, revision = read
            if head["contracts"].get(customer, 0) >= version:
                break
            head["version"] += 1
            head["contracts"][customer] = version
            if self.swap("config/head", head, revision) == 200:
                break
        else:
            return
        with self.lock:
            if (customer, version) in self.racing:
                self.reverted += 1
                print("chaos: FAILED: two changes were accepted as version %d of %s"
                      % (version, customer), flush=True)
            self.racing.add((customer, version))
            self.accepted[customer] = max(version, self.accepted.get(customer, 0))
        self.say("operator %s: contract %s, version %d is accepted" % (who, customer, version))

    # Helpers of faults.

    def sleep(self, seconds):
        """Sleeps, but not beyond the end of the faults."""
        self.ending.wait(seconds)

    def await_node(self, name):
        """Waits until the node is ready, then releases it."""
        it = self.fleet.node(name)
        end = time.time() + WHOLE_TIMEOUT_S
        while time.time() < end and not self.fleet.is_ready(it):
            time.sleep(0.2)
        self.say("node %s is %s" % (name, "ready" if time.time() < end else "NOT ready"))
        self.release([name])

    def planned_restart(self, name, timeout):
        begin = time.time()
        self.fleet.signal(name, signal.SIGTERM)
        while self.fleet.is_running(name) and time.time() < begin + timeout:
            time.sleep(0.05)
        if self.fleet.is_running(name):
            self.fail("node %s does not end within %d s of SIGTERM" % (name, timeout))
            self.fleet.kill(name)
        elif self.fleet.processes[name].returncode != 0:
            self.fail("node %s ends with %d after SIGTERM"
                      % (name, self.fleet.processes[name].returncode))
        self.say("node %s stopped %.1f s after SIGTERM" % (name, time.time() - begin))
        self.fleet.restart_on_new_vm(name)

    # Watching.

    def watch(self, over):
        """Restarts engines that died of a request, notices nodes that end, compares versions."""
        died = {}
        while not over.wait(0.5):
            for name in self.engine_names():
                with self.lock:
                    free = name not in self.busy
                if free and not self.fleet.is_running(name):
                    if died.setdefault(name, time.time()) + 1 < time.time():
                        del died[name]
                        self.note_death(name)
                        self.say("engine %s died and is started again" % name)
                        self.fleet.respawn(name)
            for it in self.fleet.nodes:
                self.watch_node(it)

    def note_death(self, name):
        """Section 9 of the design page: after two deaths the request is quarantined."""
        self.deaths += 1
        if self.deaths == DEATHS_MAX * self.crash_requests + 1:
            self.fail("engine %s is number %d to die of %d crashing request(s), %d are allowed"
                      % (name, self.deaths, self.crash_requests, self.deaths - 1))

    def watch_node(self, it):
        name = it["name"]
        process = self.fleet.processes[name]
        with self.lock:
            free = name not in self.busy
        aborted = process.poll() == -signal.SIGABRT or process.poll() == -signal.SIGSEGV
        if process.poll() is not None and (free or aborted) and process.pid not in self.down:
            self.down.add(process.pid)
            log = (self.fleet.run / (name + ".log")).read_text(errors="replace").splitlines()
            lines = [it for it in log if "is violated" in it or it.startswith("F")]
            self.fail("node %s ended by itself with %d: %s"
                      % (name, process.returncode, " | ".join(lines[-2:] or log[-2:])))
            if free:
                self.fleet.restart_on_new_vm(name)
        if not free or process.poll() is not None:
            return
        values = {key: value for key, value in self.fleet.metrics(it).items()
                  if key.startswith("chervil_document_version") or key == "chervil_shard_map_version"}
        if self.fleet.processes[name] is not process:
            return
        held = self.versions.setdefault(process.pid, {})
        for key, before in held.items():
            if values and values.get(key, 0) < before:
                self.reverted += 1
                self.say("FAILED: %s on node %s falls from %d to %d"
                         % (key, name, before, values.get(key, 0)))
        held.update(values)

    def check_versions(self):
        """Every accepted version must be in force on every node, and in the service."""
        head = self.read("config/head")[0]["contracts"]
        end = time.time() + APPLY_S
        for customer, version in sorted(self.accepted.items()):
            stored = self.read("config/contracts/" + customer)[0]["version"]
            if stored < version or head.get(customer, 0) < version:
                self.reverted += 1
                self.say("FAILED: contract %s has version %d, head %d, but %d was accepted"
                         % (customer, stored, head.get(customer, 0), version))
            key = 'chervil_document_version{document="config/contracts/%s"}' % customer
            for it in self.fleet.nodes:
                while (self.fleet.metrics(it).get(key, 0) < version and time.time() < end):
                    time.sleep(0.2)
                seen = self.fleet.metrics(it).get(key, 0)
                if seen < version:
                    self.reverted += 1
                    self.say("FAILED: contract %s has version %d on node %s, %d was accepted"
                             % (customer, seen, it["name"], version))

    # The run.

    KINDS = [("kill_node", 3), ("pause_node", 2), ("stop_node", 1), ("link", 3), ("kv_outage", 2),
             ("kv_latency", 1), ("lost_answers", 2), ("vm_lag", 1), ("refuse_vms", 1),
             ("reclaim_zone", 2), ("kill_engine", 3), ("slow_engine", 2), ("crash_request", 2),
             ("race", 3)]

    def draw(self):
        """[(time, kind, seed)] of all faults, from the seed alone."""
        rng = random.Random(self.seed)
        faults = []
        at, crash = 2.0, -CRASH_GAP_S
        while at < self.seconds - 5:
            kind = rng.choices([it for it, _ in self.KINDS], [n for _, n in self.KINDS])[0]
            if kind != "crash_request" or at - crash >= CRASH_GAP_S:
                crash = at if kind == "crash_request" else crash
                faults.append((at, kind, rng.getrandbits(32)))
            at += rng.expovariate(1 / MEAN_GAP_S)
        return faults

    def guarded(self, kind, rng):
        try:
            getattr(self, kind)(rng)
        except Exception as error:  # A broken fault must not pass as a run without it.
            self.fail("fault %s: %r" % (kind, error))

    def inject(self):
        threads = []
        for at, kind, seed in self.draw():
            time.sleep(max(0, self.begin + at - time.time()))
            it = threading.Thread(target=self.guarded, args=(kind, random.Random(seed)),
                                  daemon=True)
            it.start()
            threads.append(it)
        time.sleep(max(0, self.begin + self.seconds - time.time()))
        self.say("all faults end")
        self.ending.set()
        for it in threads:
            it.join()

    def wait_whole(self):
        try:
            end = time.time()
            for it in self.fleet.nodes:
                self.fleet.wait(lambda it=it: self.fleet.is_ready(it), it["name"], WHOLE_TIMEOUT_S)
                self.fleet.wait(lambda it=it: self.fleet.metrics(it).get("chervil_live_members")
                                == len(self.fleet.nodes), it["name"] + " sees all nodes",
                                WHOLE_TIMEOUT_S)
            self.fleet.wait(self.fleet.standbys_ready, "standbys", WHOLE_TIMEOUT_S)
            self.say("the fleet is whole after %.1f s" % (time.time() - end))
        except RuntimeError as error:
            self.fail("the fleet is not whole: %s" % error)

    def workload(self, name, limit):
        """The deployment's workload with answers of at most `limit` tokens."""
        path = self.fleet.run / name
        workload = json.loads((self.fleet.directory / "workload.json").read_text())
        for it in workload["kinds"]:
            if "tokens" in it:
                low, high = (min(n, limit) for n in it["tokens"])
                it["tokens"] = [min(low, high * 2 // 3), high]
        path.write_text(json.dumps(workload))
        return path

    def rolling_restart(self):
        """Restarts all nodes in turn, each under a load of its own that must see no call cut."""
        self.fault("rolling restart of all nodes by SIGTERM")
        workload = self.workload("rolling.json", RESTART_MAX_TOKENS)
        total = {}
        for i, name in enumerate(self.node_names()):
            with self.lock:
                self.busy.add(name)
            load = Load(self.fleet, RESTART_LOAD_S, callers=8, seed=self.seed * 1000 + i + 1,
                        workload=workload)
            time.sleep(RESTART_LOAD_S / 4)
            self.planned_restart(name, 60)
            self.await_node(name)
            counts = load.wait(RESTART_LOAD_S + 400)
            counts["partial"] += load.wrong()
            cut = json.loads(load.report.read_text())["cut"]
            if cut:
                self.fail("%d calls were cut by the planned stop of node %s" % (cut, name))
            for key, value in counts.items():
                total[key] = total.get(key, 0) + value
        return total


def run(options):
    seconds = options.minutes * 60
    fleet = Fleet(options.deployment, nodes=NODES, engines=ENGINES,
                  port_offset=options.port_offset, keep=True)
    with fleet:
        fleet.wait_ready()
        chaos = Chaos(fleet, options.seed, seconds)
        chaos.say("%s, seed %d: the fleet is ready; logs in %s"
                  % (options.deployment, options.seed, fleet.run))
        over = threading.Event()
        watcher = threading.Thread(target=chaos.watch, args=(over,))
        watcher.start()
        try:
            load = Load(fleet, seconds, seed=options.seed, extra=["--idle-s", "10", "--give-up-s", str(GIVE_UP_S)],
                        workload=chaos.workload("workload.json", MAX_TOKENS))
            chaos.inject()
            chaos.wait_whole()
            totals = load.wait(420)
            totals["partial"] += load.wrong()
            print("chaos: load report:\n" + load.text, flush=True)
            if not json.loads(load.report.read_text())["verified"]:
                chaos.fail("executions could not be compared")
            for key, value in chaos.rolling_restart().items():
                totals[key] += value
            chaos.wait_whole()
            chaos.check_versions()
        finally:
            over.set()
            watcher.join()
    return chaos, totals


def main():
    parser = argparse.ArgumentParser(prog="tools/chaos")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, required=True)
    parser.add_argument("--deployment", choices=("norte", "sul"), default="norte")
    parser.add_argument("--port-offset", type=int, default=PORT_OFFSET)
    parser.add_argument("--keep", action="store_true", help="keep the logs of a run that passes")
    options = parser.parse_args()
    # Whoever ends the run ends its processes too; SIGINT is ignored in background jobs of a shell.
    for it in (signal.SIGINT, signal.SIGTERM):
        signal.signal(it, lambda *_: sys.exit(1))
    chaos, totals = run(options)
    counts = [("lost", totals["lost"]), ("doubled", totals["doubled"]),
              ("partial", totals["partial"]), ("wrong_not_run", totals["wrong_not_run"]),
              ("reverted", chaos.reverted), ("late_to_leaving", chaos.late)]
    for it in chaos.failures:
        print("chaos: failure: " + it)
    bad = bool(chaos.failures) or any(n for _, n in counts)
    if bad:
        print("chaos: failed; logs in %s; repeat with: tools/chaos --seed %d --minutes %g "
              "--deployment %s" % (chaos.fleet.run, options.seed, options.minutes,
                                   options.deployment))
    elif not options.keep:
        shutil.rmtree(chaos.fleet.run, ignore_errors=True)
    # An answer `unknown` is right when both copies of a record were lost without notice.
    print("chaos: unknown=%d refused=%d ok=%d"
          % (totals["unknown"], totals["refused"], totals["ok"]))
    print("chaos: faults=%d requests=%d %s" % (chaos.faults, totals["requests"],
                                               " ".join("%s=%d" % it for it in counts)))
    sys.exit(1 if bad else 0)


main()
