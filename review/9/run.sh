#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/lab ] && [ -x target/jacinthfork-gateway ] || exit 2
exec target/review-2/lab -case forgotten -gateway target/jacinthfork-gateway -folder review/9
