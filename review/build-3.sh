#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the node: stand-ins in Python, the
# project's own (tools/lib/soak) among them, which are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lib-3/*.py review/1[1-5]/*.py tools/lib/soak/wire.py tools/lib/soak/store.py tools/lib/soak/link.py <<'CHECK'
import ast, pathlib, sys
for name in sys.argv[1:]:
    if pathlib.Path(name).is_file():
        ast.parse(pathlib.Path(name).read_text(), name)
CHECK
