#!/usr/bin/env bash
# Scores the deployments that no change may make worse, one after the other, two days at a
# time: a day of the largest takes minutes and 4 GB. Needs the users' bench, so CI does
# not run it. Usage: _scripts/regress.sh BENCH FOLDER-OF-SITES WHY
set -euo pipefail
bench=$1
folder=$2
why=$3
failed=()
while read -r site; do
	case $site in '' | '#'*) continue ;; esac
	"$bench" score "$folder/$site" --jobs 2 --why "$why" || failed+=("$site")
done <"$(dirname "$0")/regression-sites"
if [ ${#failed[@]} -gt 0 ]; then
	echo "failed: ${failed[*]}"
	exit 1
fi
