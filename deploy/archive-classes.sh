#!/bin/sh
# Starts and stops a router once and writes the classes that it loaded to the class data sharing (CDS) archive
# target/ledgewall.jsa. With the archive, a router on one core is ready in less than half the time; it also starts without
# the archive. So this script never fails a build.
cd "$(dirname "$0")/.." || exit 0
log=target/rehearsal.log
rm -f target/ledgewall.jsa
java -Xss256k -Xms40m -Xmx40m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/ledgewall.jsa \
    -jar target/ledgewall.jar serve deploy/rehearsal.json >"$log" 2>&1 &
router_pid=$!
attempts=0
until grep -q 'listens on' "$log" || [ "$attempts" -ge 100 ]; do
    attempts=$((attempts + 1))
    sleep 0.1
done
kill -TERM "$router_pid" 2>/dev/null
wait "$router_pid"
[ -s target/ledgewall.jsa ] || echo "no class archive: routers will start more slowly; see $log" >&2
exit 0
