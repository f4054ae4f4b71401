#!/usr/bin/env python3
"""Runs clang-tidy over source files and remembers which inputs were clean.

Usage: tools/lib/lint.py BUILD_DIR FILE...

clang-tidy takes about ten minutes for the whole tree, and its verdict depends only on the tool, its
settings, the compile command and the files that the source includes. A clean verdict is kept under
the hash of all of these; a file is checked again when any of them changes. Findings are never kept.
The cache is $XDG_CACHE_HOME/chervilcourse-lint (~/.cache by default) and can be removed at any time.
LINT_JOBS bounds the files checked at a time (all processors by default).
"""
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


@functools.lru_cache(maxsize=None)
def content_hash(path):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def dependencies(command, directory):
    """All files the compiler reads for one source, system headers included."""
    words = shlex.split(command)
    words[0] = "clang++"
    kept, skip = [], False
    for it in words:
        if skip:
            skip = False
        elif it in ("-o", "-MF", "-MT"):
            skip = True
        elif it not in ("-c", "-MD"):
            kept.append(it)
    out = subprocess.run(kept + ["-M", "-MT", "x"], cwd=directory, capture_output=True, text=True)
    if out.returncode != 0:
        return None
    names = shlex.split(out.stdout.replace("\\\n", " "))[1:]
    return [str(pathlib.Path(directory, it)) for it in names]


def cache_key(entry, root, fixed):
    files = dependencies(entry["command"], entry["directory"]) if "command" in entry else None
    if files is None:
        return None
    digest = hashlib.sha256(fixed.encode())
    digest.update(entry["command"].replace(root, "").encode())
    # Sorted without the root, so that clones in other folders get the same key.
    named = sorted((os.path.realpath(it).removeprefix(root), it) for it in files)
    for name, it in named:
        digest.update(name.encode())
        digest.update(content_hash(it).encode())
    return digest.hexdigest()


def check(entry, build, root, fixed, cache):
    key = cache_key(entry, root, fixed)
    if key and (cache / key).exists():
        return 0, "", True
    run = subprocess.run(["clang-tidy", "--quiet", "-p", build, entry["file"]],
                         capture_output=True, text=True)
    if run.returncode == 0 and key:
        (cache / key).touch()
    # Without an exit code of 0 the standard error says what stopped the tool.
    return run.returncode, run.stdout + (run.stderr if run.returncode else ""), False


def main():
    build, files = sys.argv[1], {os.path.realpath(it) for it in sys.argv[2:]}
    root = os.path.realpath(".")
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"),
                         "chervilcourse-lint")
    cache.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True).stdout
    fixed = version + pathlib.Path(".clang-tidy").read_text()
    entries = {it["file"]: it for it in json.loads(pathlib.Path(build, "compile_commands.json").read_text())}
    # A file outside this build (a fuzz target) has no command to hash; clang-tidy infers one.
    known = [entries.get(it, {"file": it}) for it in sorted(files)]
    reused, status = 0, 0
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("LINT_JOBS", os.cpu_count()))) as pool:
        for code, text, was_kept in pool.map(lambda it: check(it, build, root, fixed, cache), known):
            reused += was_kept
            if code != 0:
                status = 1
                print(text, flush=True)
    print(f"lint: {len(known)} files, {reused} unchanged since a clean run")
    return status


if __name__ == "__main__":
    sys.exit(main())
