#!/usr/bin/env bash
# Plays the case once and writes record.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/reviewcase ] || exit 2
exec ../bin/reviewcase -case first-part -root ../.. -record record.txt
