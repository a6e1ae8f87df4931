#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin/. It needs no network beyond what the deploy
# file's build has already fetched: only the standard library is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
  [ -f "review/$n/main.go" ] || continue
  go build -o "review/bin/case$n" "./review/$n"
done
