#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/sequoiawharf-edge ] && [ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 review/10
