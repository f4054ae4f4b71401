"""The demonstration run by tools/demo."""

import sys
import threading
import time

from fleet import Fleet, Load

# In each deployment: the node that is killed, and the zone that is reclaimed.
FAULTS = {"norte": ("bilbao-1", "donostia-b"), "sul": ("sul-b-1", "sul-d-b")}
NOTICE_S = 5


def inject(fleet, victim, zone):
    time.sleep(5)
    print("demo: %s: node %s is killed" % (fleet.name, victim), flush=True)
    fleet.kill_node(victim, vm_gone_after=2)
    time.sleep(3)
    print("demo: %s: zone %s is reclaimed with %d s notice" % (fleet.name, zone, NOTICE_S),
          flush=True)
    gone = fleet.reclaim_zone(zone, NOTICE_S)
    print("demo: %s: gone: %s" % (fleet.name, ", ".join(gone)), flush=True)


def run(name, seconds):
    victim, zone = FAULTS[name]
    with Fleet(name) as fleet:
        begin = time.time()
        fleet.wait_ready()
        print("demo: %s: ready after %.1f s" % (name, time.time() - begin), flush=True)
        load = Load(fleet, seconds)
        faults = threading.Thread(target=inject, args=(fleet, victim, zone))
        faults.start()
        counts = load.wait(seconds + 420)
        faults.join()
        print("demo: %s:\n%s" % (name, load.text), flush=True)
        # A wrong answer is worse than a part of one and counts as such.
        counts["partial"] += load.wrong()
        return counts


def main():
    seconds = 20 if "--quick" in sys.argv else 30
    total = {}
    for name in ("norte", "sul"):
        for key, value in run(name, seconds).items():
            total[key] = total.get(key, 0) + value
    if total["unknown"] or total["wrong_not_run"]:
        print("demo: unknown=%d wrong_not_run=%d" % (total["unknown"], total["wrong_not_run"]))
    print("demo: requests=%d ok=%d lost=%d doubled=%d partial=%d refused=%d"
          % tuple(total[it] for it in ("requests", "ok", "lost", "doubled", "partial", "refused")))
    bad = total["lost"] + total["doubled"] + total["partial"] + total["wrong_not_run"]
    sys.exit(1 if bad else 0)


main()
