#!/usr/bin/env bash
# A zone loses power while a replica that has just started, and receives commits, is not known yet.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves the loss out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/play2 ] && [ -x target/indigowalk ] || { echo "not built: the build of the deploy file and review/build-2.sh"; exit 2; }
exec timeout 110 target/review/play2 -record review/9/record.txt late-beat
