#!/bin/sh
# Builds the stand-ins of the cases in this folder. They use the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes lib/*.java 1/*.java 2/*.java 3/*.java
