#!/usr/bin/env bash
# Plays the case, after the build of deploy/system.toml and review/build.sh. It exits with 1
# if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
if [ ! -x "$root/target/teaselcleat" ] || [ ! -x "$root/target/harness" ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
timeout --signal=TERM --kill-after=2 115 "$root/target/harness" -case left-idle -root "$root" -record "$here/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
