#!/usr/bin/env bash
# Scores the deployments that later work must hold.
#
# usage: deploy/regression.sh BENCH SYSTEM_FOLDER [JOBS]
#
# BENCH is the bench's program, SYSTEM_FOLDER the folder with the site files.
# Exits with 1 if a deployment does not pass its gate.
set -uo pipefail
if [ $# -lt 2 ]; then
  sed -n '3,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1
system=$2
jobs=${3:-3}
sites=(
  further/bfss-depots
  further-grown/bfss-depots-grown
  sites/verhaegen-refill
  grown/kottamathil-grid-grown
  grown/verhaegen-refill-grown
  large/kottamathil-grid-large
)
commit=$(git rev-parse --short HEAD)
verdict=0
for site in "${sites[@]}"; do
  output=$("$bench" score "$system/$site.toml" --jobs "$jobs" \
    --why "regression run at $commit" 2>&1) || true
  gate=$(grep -o 'GATE passed\|GATE failed.*' <<< "$output" | tail -1)
  echo "$site: ${gate:-no verdict: $(tail -1 <<< "$output")}"
  [ "$gate" = "GATE passed" ] || verdict=1
done
exit "$verdict"
