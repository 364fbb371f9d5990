#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/almondpick ] && [ -x target/review-2/standin2 ] || exit 2
exec target/review-2/standin2 evacuated-pool "$here/record.txt"
