#!/usr/bin/env bash
# Plays the case with the project's programs as separate processes and writes record.txt beside this
# file. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build first: the deploy file's build line, then review/build.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -x target/loomgrade ] || [ ! -x target/review-standin ]; then
	echo "target/loomgrade or target/review-standin is missing" >&2
	exit 2
fi
exec target/review-standin stop review/2
