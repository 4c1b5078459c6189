#include "servers/operator_endpoint/process_gauges.h"

#include <cstdint>
#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace almondnotch {

namespace {

double secondsOf(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

} // namespace

void addProcessGauges(counter_set &counters)
{
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0)
        counters.set("process_cpu_seconds", secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime));
    // The second number in the file is the number of resident pages (proc(5)).
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (file >> total >> resident)
        counters.set("process_resident_memory_bytes",
                     static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)));
}

} // namespace almondnotch
