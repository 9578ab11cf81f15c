#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run. TROUBLE=0
# plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/standins ] && [ -x target/bamboowalkd ] || exit 2
exec target/standins newcomer-lost "$here/record.txt"
