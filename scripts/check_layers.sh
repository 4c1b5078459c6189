#!/usr/bin/env bash
# Checks the include direction between the layers (core <- config <- decision <- servers <- main;
# platform may not include main, nor servers platform), that the decision package uses no socket,
# clock, thread or randomness of its own, and where platform protocol names and `auto` are used.
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
forbid servers '#include "platform/' 'servers may not include platform/; main passes its protocol implementations to the servers'
forbid platform '#include "(main|tests)/' 'platform may not include higher layers'
forbid main '#include "tests/' 'main may not include tests'
forbid decision '#include <(sys/|netinet|arpa|unistd|poll|thread|mutex|atomic|future|condition_variable|random|ctime|time\.h|ev\.h|curl|microhttpd|grpc)' \
  'decision may not include headers for I/O, threads, clocks or randomness'
forbid decision '(steady_clock|system_clock|high_resolution_clock|gettimeofday|clock_gettime|std::thread|std::async|std::rand|random_device|\bsocket\()' \
  'decision may not use clocks, threads, sockets or randomness of its own'
# Header, path and field names of the platform's protocols may occur in platform/ only.
hits=$(git grep --untracked -nE 'X-Almondnotch-|kv-(key|range|watch)|warmupLeft|targetLatency|/v1/(resolve|readiness)' \
  -- core config decision servers main tools || true)
if [ -n "$hits" ]; then
  echo "platform protocol names outside platform/:"
  echo "$hits"
  failed=1
fi
# `auto` is allowed only for iterators, lambdas and their parameters, structured bindings and
# defaulted `operator<=>`.
hits=$(git grep --untracked -nE '\bauto\b' -- '*.cpp' '*.h' ':!*.pb.*' \
  | grep -vE '= *\[|auto (&|\*)?[A-Za-z]*(it|It|iterator|found|position|next|first|last|end|inserted|at)\b|\[[A-Za-z, ]*\]|operator<=>|\(auto\b|find|begin\(|end\(|bound\(|erase\(' || true)
if [ -n "$hits" ]; then
  echo 'auto outside iterators, lambdas and their parameters, structured bindings and operator<=>:'
  echo "$hits"
  failed=1
fi
exit $failed
