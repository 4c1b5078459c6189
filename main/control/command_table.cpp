#include "main/control/command.h"
#include "main/control/local_commands.h"
#include "main/control/online_commands.h"
#include "main/control/route_config_command.h"

namespace almondnotch {

const std::vector<command> &commandTable()
{
    static const std::vector<command> table {
        {"check",
         "DIR",
         1,
         1,
         "Check a configuration set.",
         "Reads all *.toml files of DIR as one set and prints every fault.",
         "almondnotchctl check samples/kestrelwood/config",
         {"output"},
         &runCheck},
        {"diff",
         "DIR_BEFORE DIR_AFTER",
         2,
         2,
         "Show the differences between two configuration sets.",
         "Both sets are checked first. Lists objects added, removed and changed, and where the\n"
         "routing of a path prefix changes. The exit code is 0 with and without differences.",
         "almondnotchctl diff published/ edited/",
         {"output"},
         &runDiff},
        {"manifest",
         "DIR",
         1,
         1,
         "Create the manifest of a configuration set.",
         "Prints the manifest, which is to be published as the value of the key \"manifest\".\n"
         "With --out, each part is written to a file named by its SHA-256, to be published as\n"
         "the value of the key part/SHA256. Publish the parts before the manifest.",
         "almondnotchctl manifest edited/ --config_version 42 --out publish/ > manifest.toml",
         {"config_version", "out", "output"},
         &runManifest},
        {"config",
         "check FILE",
         2,
         2,
         "Check a route configuration before it is sent to the platform.",
         "Prints errors, entries that can never match and limits that contradict each other and,\n"
         "with --against, what differs from the configuration in force. The exit code is 1 if\n"
         "anything was found, whether there are differences or not.",
         "almondnotchctl config check next.json --against in-force.json",
         {"against", "output"},
         &runConfig},
        {"dump",
         "[TABLE]",
         0,
         1,
         "Show the state of a gateway.",
         "Prints all tables of the state dump, or only TABLE.",
         "almondnotchctl dump --operator 127.0.0.1:9901 --output json",
         {"operator", "output", "watch", "interval_ms", "watch_count"},
         &runDump},
        {"explain",
         "PATH",
         1,
         1,
         "Show where a gateway would send a call, and why.",
         "Nothing is sent to a worker.",
         "almondnotchctl explain /orders/17 --method POST",
         {"operator", "method", "output", "watch", "interval_ms", "watch_count"},
         &runExplain},
        {"entrypoints",
         "SERVICE",
         1,
         1,
         "Show the entry addresses that callers of a service receive.",
         "Sends the request to the address at which the gateway accepts callers, as a caller does.",
         "almondnotchctl entrypoints payments --entry 192.0.2.11:8080",
         {"entry", "output", "watch", "interval_ms", "watch_count"},
         &runEntrypoints},
        {"workers",
         "",
         0,
         0,
         "Show the state of the workers as seen by a gateway.",
         "Prints the table \"workers\" of the state dump.",
         "almondnotchctl workers --watch",
         {"operator", "output", "watch", "interval_ms", "watch_count"},
         &runWorkers},
        {"drain",
         "",
         0,
         0,
         "Drain a gateway without interrupting calls.",
         "The gateway's address is no longer returned to callers that look up entry addresses.\n"
         "The gateway finishes its calls, hands its claims (recorded operations with an\n"
         "idempotency key) over to other gateways and exits. A drain cannot be undone.",
         "almondnotchctl drain --operator 127.0.0.1:9901",
         {"operator", "output"},
         &runDrain},
        {"version",
         "",
         0,
         0,
         "Print the version of this program.",
         "",
         "almondnotchctl version",
         {"output"},
         &runVersion},
    };
    return table;
}

} // namespace almondnotch
