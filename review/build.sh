#!/bin/sh
# The stand-ins that the scripts start, the project's own too, are Python and need no build: this checks that they are
# readable. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for it in review/lib/*.py review/[1-5]/*.py tools/lib/soak/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it" || exit 1
done
test -x target/packages/daemon/chervilcoursed || { echo "build target/packages/daemon/chervilcoursed first"; exit 2; }
