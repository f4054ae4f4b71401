"""Plays days of the users' bench on two commits in pairs and compares them; see tools/regression."""

import argparse
import concurrent.futures
import configparser
import pathlib
import re
import subprocess
import sys

# A difference in worth below this is noise of one play.
LOSS = 0.03
PLAY_TIMEOUT_S = 1800


class UsageError(Exception):
    pass


def read_days(path):
    """Returns a list of (name, site, day, seed). Each section of the file is one day."""
    parser = configparser.ConfigParser()
    try:
        if not parser.read(path):
            raise UsageError(f"cannot read {path}")
    except configparser.Error as error:
        raise UsageError(f"{path}: {error}") from error
    days = []
    for name in parser.sections():
        section = parser[name]
        missing = [key for key in ("site", "day", "seed") if key not in section]
        if missing:
            raise UsageError(f"{path}: [{name}] lacks {', '.join(missing)}")
        unknown = set(section) - {"site", "day", "seed"}
        if unknown:
            raise UsageError(f"{path}: [{name}] has unknown keys {', '.join(sorted(unknown))}")
        days.append((name, section["site"], section["day"], section["seed"]))
    if not days:
        raise UsageError(f"{path} names no day")
    return days


def parse_report(text):
    """Returns worth, served, broken rules, prices and late answers by kind of one play's output."""
    day = re.search(r"^\S.*?\d+/\d+ +([\d.]+) +(-?[\d.]+) +([\d.]+) +([\d.]+) +([\d.]+) ", text, re.M)
    if day is None:
        raise ValueError("the output names no figures")
    broken = re.search(r"^rules broken: (.*)$", text, re.M)
    else_worth = re.search(r"\(else (-?[\d.]+)\)", text)
    prices = {
        name.strip(): float(cost)
        for cost, name in re.findall(r"^ +-(-?\d+\.\d+) +-?[\d.]+ (.*)$", text, re.M)
        if float(cost) >= 0.0005
    }
    kinds = re.search(r"^class +asked.*\n((?:\S.*\n)+)", text, re.M)
    late = {}
    for line in kinds.group(1).splitlines() if kinds else []:
        fields = line.split()
        late[fields[0]] = int(fields[3])
    return {
        "worth": float(else_worth.group(1)) if broken and else_worth else float(day.group(2)),
        "served": float(day.group(3)),
        "broken": broken.group(1) if broken else "",
        "prices": prices,
        "late": late,
    }


def run(command, folder, log):
    with open(log, "w", encoding="utf-8") as out:
        code = subprocess.run(command, cwd=folder, stdout=out, stderr=subprocess.STDOUT, check=False,
                              timeout=PLAY_TIMEOUT_S).returncode
    if code != 0:
        raise RuntimeError(f"{command[0]} {command[1]} ended with {code}; see {log}")


def prepare(options, label, commit):
    """Clones a commit and builds it as the bench does."""
    folder = options.work / label
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", ".", str(folder)], check=True)
    subprocess.run(["git", "-C", str(folder), "fetch", "-q", "origin"], check=True)
    subprocess.run(["git", "-C", str(folder), "checkout", "-q", commit], check=True)
    run([options.bench, "build"], folder, options.work / f"build-{label}.txt")
    return folder


def play(options, folder, label, day):
    name, site, spec, seed = day
    if spec.endswith(".toml"):
        spec = str(pathlib.Path(spec).resolve())
    log = options.work / f"{name}-{label}.txt"
    command = [options.bench, "run", str(options.sites / site), spec, "--seed", seed, "--no-cpu",
               "--why", f"{options.why}: {label}"]
    run(command, folder, log)
    return parse_report(log.read_text(encoding="utf-8"))


def changes(base, head):
    """The figures that differ, largest first, as text."""
    names = sorted(set(base) | set(head), key=lambda it: -abs(head.get(it, 0) - base.get(it, 0)))
    return "; ".join(f"{it} {base.get(it, 0):g} -> {head.get(it, 0):g}" for it in names[:4]
                     if base.get(it, 0) != head.get(it, 0))


def report(name, base, head):
    """Prints one pair. Returns whether HEAD lost."""
    lost = bool(head["broken"]) or head["worth"] < base["worth"] - LOSS
    print(f"{name:32} worth {base['worth']:.3f} -> {head['worth']:.3f}  served {base['served']:.3f} -> "
          f"{head['served']:.3f}  {'LOSS' if lost else 'ok'}")
    for label, it in (("base", base), ("head", head)):
        if it["broken"]:
            print(f"    rules broken on {label}: {it['broken']}")
    for label in ("late", "prices"):
        if text := changes(base[label], head[label]):
            print(f"    {label}: {text}")
    sys.stdout.flush()
    return lost


def parse_options(arguments):
    parser = argparse.ArgumentParser(prog="tools/regression", add_help=False)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", required=True, type=pathlib.Path)
    parser.add_argument("--days", required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--kind", default="")
    parser.add_argument("--work", type=pathlib.Path, default=pathlib.Path("build/regression"))
    parser.add_argument("--why", default="regression")
    parser.add_argument("base")
    parser.add_argument("head", nargs="?", default="HEAD")
    options = parser.parse_args(arguments)
    options.bench = str(pathlib.Path(options.bench).resolve())
    options.sites = options.sites.resolve()
    options.work = options.work.resolve()
    return options


def commit_of(name):
    done = subprocess.run(["git", "rev-parse", "--verify", "-q", name + "^{commit}"],
                          capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise UsageError(f"{name} is no commit")
    return done.stdout.strip()


def main(arguments):
    options = parse_options(arguments)
    days = [it for it in read_days(options.days) if options.kind in it[0]]
    commits = {"base": commit_of(options.base), "head": commit_of(options.head)}
    options.work.mkdir(parents=True, exist_ok=True)
    folders = {label: prepare(options, label, commit) for label, commit in commits.items()}
    lost = 0
    with concurrent.futures.ThreadPoolExecutor(2 * max(1, options.jobs)) as pool:
        pairs = [(day, {label: pool.submit(play, options, folder, label, day)
                        for label, folder in folders.items()}) for day in days]
        for day, plays in pairs:
            try:
                lost += report(day[0], plays["base"].result(), plays["head"].result())
            except (RuntimeError, ValueError, subprocess.TimeoutExpired) as error:
                print(f"{day[0]:32} FAILED: {error}")
                lost += 1
    print(f"regression: days={len(days)} lost={lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        sys.exit(main(sys.argv[1:]))
    except UsageError as error:
        print(f"tools/regression: {error}", file=sys.stderr)
        sys.exit(2)
