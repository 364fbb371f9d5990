#!/usr/bin/env bash
# Exit code 1: RECOVER is broken; 0: it held; 2: the case could not run. TROUBLE=0: without the cut.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || exit 2
exec ../bin/standin late-delete . ../..
