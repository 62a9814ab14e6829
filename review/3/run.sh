#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case3 ] && [ -x ../../bin/pearknot ] || { echo "build first: deploy/balancer.toml, review/build.sh" >&2; exit 2; }
exec ../bin/case3 record.txt
