#!/bin/sh
# Clients that send many commands at once are cut off before their answers. Exit: 1 broken, 0 held, 2 not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/ledgewall.jar ] && [ -f review/standins-2/target/CutOffCase.class ] || { echo "build first" >&2; exit 2; }
exec java -Xmx512m -cp review/standins-2/target CutOffCase review/7
