#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They are Python and need no build; the node
# is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import pathlib
for it in [*pathlib.Path("review").glob("lib-2/*.py"), *pathlib.Path("tools/lib/soak").glob("*.py"),
           *[p for n in range(6, 11) for p in pathlib.Path(f"review/{n}").glob("*.py")]]:
    compile(it.read_text(), str(it), "exec")
P
