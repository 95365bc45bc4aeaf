#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
repository="$(cd ../.. && pwd)" || exit 2
[ -x "$repository/target/release/luglink" ] && [ -x "$repository/target/review/standin" ] || {
  echo "build the product and run review/build.sh first"
  exit 2
}
exec "$repository/target/review/standin" budget "$repository" record.txt
