#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -f target/review/Review.class ] || [ ! -f target/entry/entry.jar ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -cp target/review Review foreign review/5
