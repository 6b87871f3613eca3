#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sassafrasturnd ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases -case stale-takeover -record review/7/record.txt
