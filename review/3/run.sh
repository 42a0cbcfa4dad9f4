#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/ledgewall.jar ] && [ -d ../target/3 ] || { echo "build first" >&2; exit 2; }
timeout -k 2 116 java -Xmx1g -cp ../target/3 Pipeline "$(cd ../.. && pwd)" "$PWD" "${TROUBLE:-1}" "${SEED:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
