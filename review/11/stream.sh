#!/usr/bin/env bash
# Plays case 11 with streams. TROUBLE=0 leaves the disruption out. Ends with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --kill-after=10 60 target/review-3/rig -case upload-stream -trouble="$trouble" -record review/11/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
