#!/bin/sh
# Builds the program as the deploy file says. All stand-ins that the cases 4 and up start, the
# project's own store too, are Python and run with what that build puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" || exit 2
PYTHONPATH=target/deps python3 -c "import stand_ins.store"
