#!/bin/sh
# Plays case 4. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it with a name that can be read.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-4 ] || exit 2
exec target/review-4
