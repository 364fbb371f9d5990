#!/usr/bin/env bash
# Starts one instance whose settings are in FOLDER/NAME.env.
# Usage: _scripts/start.sh FOLDER NAME [PROGRAM]
set -euo pipefail
folder=$1
name=$2
program=${3:-./almondpick}
set -a
. "$folder/$name.env"
set +a
"$program" serve >>"$folder/$name.log" 2>&1 &
echo $! >"$folder/$name.pid"
