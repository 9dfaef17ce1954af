#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.." || exit 2
[ -x target/release/vanillapick-relay ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin rollback "$case_folder/record.txt"
