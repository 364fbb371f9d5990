#!/usr/bin/env bash
# Prints, for each output of a bench run given as a file, the windows of two seconds in which
# requests were late, refused or failed: how many, the share of all such requests of the day, and
# the disruptions that overlap the window or ended up to four seconds before it.
# Usage: _scripts/worth-lost.sh RUN.txt...
set -euo pipefail
for f in "$@"; do
	echo "== $(basename "$f" .txt)"
	awk '
		BEGIN { n = 0; e = 0 }
		/^from second/ { table = 1; next }
		/^how tries ended/ { table = 0 }
		/^what happened/ { events = 1; next }
		/^the core was not stable|^seen/ { events = 0 }
		table && NF >= 9 { second[n] = $1; asked[n] = $2; late[n] = $4; refused[n] = $5; failed[n] = $6; lost += $4 + $5 + $6; n++ }
		events && $2 == "s" { from[e] = $1; to[e] = $4; name[e] = $6 " " ($7 ~ /^\(/ ? $7 : ""); e++ }
		END {
			for (i = 0; i < n; i++) {
				here = late[i] + refused[i] + failed[i]
				if (here < 0.02 * asked[i]) continue
				seen = ""
				for (k = 0; k < e; k++)
					if (from[k] < second[i] + 2 && to[k] + 4 > second[i] && name[k] !~ /config|hup|ack_lost|seed/ && index(seen, name[k]) == 0)
						seen = seen " " name[k]
				printf "%4d s: %4d late, %3d refused, %3d failed of %4d, %4.1f%% of the day; %s\n", second[i], late[i], refused[i], failed[i], asked[i], 100 * here / lost, seen
			}
		}' "$f"
done
