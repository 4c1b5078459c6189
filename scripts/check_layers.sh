#!/usr/bin/env bash
# Checks the include direction between the layers (core <- config <- decision <- servers <- main) and
# that the decision package uses no socket, clock, thread or randomness of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0

# forbid FOLDER PATTERN MESSAGE
forbid() {
  local hits
  hits=$(git grep --untracked -nE "$2" -- "$1/*.h" "$1/*.cpp" || true)
  if [ -n "$hits" ]; then
    echo "$3:"
    echo "$hits"
    failed=1
  fi
}

forbid core '#include "(config|decision|servers|main|tests)/' 'core may not include higher layers'
forbid config '#include "(decision|servers|main|tests)/' 'config may not include higher layers'
forbid decision '#include "(servers|main|tests)/' 'decision may not include higher layers'
forbid servers '#include "(main|tests)/' 'servers may not include higher layers'
forbid servers '#include "platform/' 'servers may not include platform/; its protocols are passed in'
forbid platform '#include "(main|tests)/' 'platform may not include higher layers'
forbid main '#include "tests/' 'main may not include tests'
forbid decision '#include <(sys/|netinet|arpa|unistd|poll|thread|mutex|atomic|future|condition_variable|random|ctime|time\.h|ev\.h|curl|microhttpd|grpc)' \
  'the decision package does no I/O'
forbid decision '(steady_clock|system_clock|high_resolution_clock|gettimeofday|clock_gettime|std::thread|std::async|std::rand|random_device|\bsocket\()' \
  'the decision package reads no clock and has no thread, socket or randomness of its own'
# Names of the users' platform are used in platform/ only.
hits=$(git grep --untracked -nE 'X-Almondnotch-|kv-(key|range|watch)|warmupLeft|targetLatency|/v1/(resolve|readiness)' \
  -- core config decision servers main tools || true)
if [ -n "$hits" ]; then
  echo "names of the users' platform outside platform/:"
  echo "$hits"
  failed=1
fi
# `auto` is for iterators and lambdas only: loops over iterators, find/begin results, lambdas, structured bindings.
hits=$(git grep --untracked -nE '\bauto\b' -- '*.cpp' '*.h' ':!*.pb.*' \
  | grep -vE '= *\[|auto (&|\*)?[A-Za-z]*(it|It|iterator|found|position|next|first|last|end|inserted|at)\b|\[[A-Za-z, ]*\]|operator<=>|\(auto\b|find|begin\(|end\(|bound\(|erase\(' || true)
if [ -n "$hits" ]; then
  echo 'auto is for iterators and lambdas only:'
  echo "$hits"
  failed=1
fi
exit $failed
