#include <cstdio>
#include <string>

#include <malloc.h>

#include "core/counters.h"
#include "core/invariants.h"
#include "decision/claims/claim_table.h"

/// Prints the average heap bytes per claim, for stored responses with empty and 200-byte bodies.
int main()
{
    using namespace almondnotch;
    constexpr unsigned claims = 100000;
    for (const std::size_t bodyBytes : {std::size_t {0}, std::size_t {200}}) {
        invariant_set invariants;
        counter_set counters;
        claim_settings settings;
        settings.tokenSecrets = {"a secret of the peers"};
        const process_id self {"kw-entry-01", 1883628647739359114ULL};
        const std::size_t before = mallinfo2().uordblks;
        claim_table table(settings, self, invariants, counters);
        const std::string range = table.mintRange(self, seconds(1), 16389063464157);
        for (unsigned i = 1; i <= claims; ++i) {
            call_request request;
            request.idempotencyKey = range + "/" + std::to_string(i);
            table.beginOperation(instant(seconds(2)), request, i, static_cast<call_id>(i));
            std::shared_ptr<call_response> response = std::make_shared<call_response>();
            response->body = std::string(bodyBytes, 'x');
            table.finishOperation(request.idempotencyKey, call_outcome::run, response);
        }
        const std::size_t bytes = mallinfo2().uordblks - before;
        std::printf("bytes_a_claim_body_%zu=%zu\n", bodyBytes, bytes / claims);
    }
    return 0;
}
