#!/bin/sh
# Plays this case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. Needs the build of the deploy file and review/build-2.sh.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
if [ ! -x target/loomkeel-node ] || [ ! -x target/review-2/standins-2 ]; then
	echo "not run: build the deploy file's programs, then run review/build-2.sh"
	exit 2
fi
exec target/review-2/standins-2 quota "$dir/record.txt"
