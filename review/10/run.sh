#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f app/target/review-2/CallAfterItsClientLeft.class ] || { echo "build first: review/build-2.sh"; exit 2; }
exec timeout -k 3 115 java -Xmx256m -cp app/target/review-2 CallAfterItsClientLeft review/10
