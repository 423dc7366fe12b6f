#!/bin/sh
# Launcher in front of the jar archive: the Java runtime skips it, the shell stops at exec.
exec java ${AZUREDALE_JAVA_OPTIONS:--Xss512k -XX:+UseParallelGC} -jar "$0" "$@"
