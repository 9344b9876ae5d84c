#!/bin/sh
# Plays case 2. Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run.
# TROUBLE=0 plays it without the disruption. What was sent, answered and run is written to record.txt beside this script.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
record="$folder/record.txt"
rm -f "$record"
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
for needed in review/classes/Case2.class app/target/wharfhinge.jar deploy/balancer.toml; do
  [ -f "$root/$needed" ] || { echo "NOT RUN: $needed is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
# ends by itself after 115 s at the most; its exit codes are those of Kit: 10 held, 11 broken
timeout -k 2 115 java -Xmx1g -Dtrouble=$trouble -Droot="$root" -cp "$root/review/classes" Case2 "$record" &
play=$!
trap 'kill $play' TERM INT
wait $play
code=$?
[ -s "$record" ] || { echo "NOT RUN: no record.txt was written" >&2; exit 2; }
case $code in
  10) exit 0 ;;
  11) exit 1 ;;
  *) echo "NOT RUN: exit code $code" >&2; exit 2 ;;
esac
