#!/bin/sh
# Plays the case of this folder. Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -f "$root/review/classes/Kit.class" ] && [ -f "$root/app/target/wharfhinge.jar" ] || exit 2
timeout 117 java -Xmx1g -Droot="$root" -cp "$root/review/classes" "Case$(basename "$folder")" "$folder" &
play=$!
trap 'kill $play' TERM INT
wait $play
code=$?
[ $code -le 1 ] || code=2
exit $code
