#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
java -Xmx192m --add-opens=java.base/java.nio=ALL-UNNAMED -Dorg.slf4j.simpleLogger.defaultLogLevel=warn \
    -cp 'target/review-2:target/calicostream.jar:target/lib/*' review2.Case10 &
test=$!
trap 'kill "$test"; wait "$test"; exit 2' INT TERM # The test ends what it started.
wait "$test"
case $? in # The test's own codes: Java itself ends with 1 where it can't start.
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
