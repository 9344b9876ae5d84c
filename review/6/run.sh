#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt beside this script. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
echo "not started" > "$record" || exit 2
timeout -k 3 110 java -Xmx512m -Xss256k -cp app/target/review-2 HangByLargeFunctions "$record" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do wait "$child"; code=$?; done
# a JVM that can't start or fails ends with 1, so that the verdicts have codes of their own
case $code in
  10) exit 0 ;;
  11) exit 1 ;;
  *) echo "could not run: code $code" | tee -a "$record"; exit 2 ;;
esac
