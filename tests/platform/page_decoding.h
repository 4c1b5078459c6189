#pragma once

#include <memory>

#include "platform/store.h"

namespace almondnotch {

/// Decodes the response to a read of published items, whose body was received as a whole.
inline result<item_page> decodePage(const read_items &command, response_reader &reader)
{
    const std::unique_ptr<item_page_decoder> decoder
        = platform::storeProtocol().makeDecoder(command);
    decoder->add(reader.takeBody());
    return decoder->finish(reader);
}

} // namespace almondnotch
