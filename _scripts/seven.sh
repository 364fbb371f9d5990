#!/usr/bin/env bash
# Starts seven instances in three data centres on loopback, with keys, and waits
# until they serve. Usage: _scripts/seven.sh FOLDER [PROGRAM]. Their process ids are
# written to FOLDER/NAME.pid; stop one with: kill -TERM $(cat FOLDER/i3.pid)
set -euo pipefail
folder=$1
program=${2:-./almondpick}
mkdir -p "$folder"
"$program" keys -folder "$folder/keys" init
"$program" keys -folder "$folder/keys" -role operator issue operator
for i in 1 2 3 4 5 6 7; do
	"$program" keys -folder "$folder/keys" issue "i$i"
	cat >"$folder/i$i.env" <<EOF
ALMONDPICK_NAME=i$i
ALMONDPICK_DATA_CENTRE=dc$((i % 3 + 1))
ALMONDPICK_FLOW_ADDRESS=127.0.0.1:$((20000 + i * 10))
ALMONDPICK_PEER_ADDRESS=127.0.0.1:$((20001 + i * 10))
ALMONDPICK_REQUEST_ADDRESS=127.0.0.1:$((20002 + i * 10))
ALMONDPICK_OPERATOR_ADDRESS=127.0.0.1:$((20003 + i * 10))
ALMONDPICK_STATUS_ADDRESS=127.0.0.1:$((20004 + i * 10))
ALMONDPICK_SEEDS=127.0.0.1:20011,127.0.0.1:20021,127.0.0.1:20031
ALMONDPICK_VOTERS=i1,i2,i3
ALMONDPICK_FIRST_START=true
ALMONDPICK_AUTHORITY=$folder/keys/ca.crt
ALMONDPICK_CERTIFICATE=$folder/keys/i$i.crt
ALMONDPICK_KEY=$folder/keys/i$i.key
ALMONDPICK_GROUP_KEY=$folder/keys/group.key
EOF
	if [ "$i" -le 3 ]; then
		echo "ALMONDPICK_DATA_FOLDER=$folder/data-i$i" >>"$folder/i$i.env"
	fi
	"$(dirname "$0")/start.sh" "$folder" "i$i" "$program"
done
for i in 1 2 3 4 5 6 7; do
	until curl -sf "http://127.0.0.1:$((20004 + i * 10))/readyz" >/dev/null; do sleep 0.2; done
done
echo "seven instances serve; their logs are in $folder"
