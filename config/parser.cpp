#include "config/parser.h"

#include "config/bounds.h"
#include "config/checker.h"
#include "config/fault_list.h"
#include "config/located_set.h"
#include "config/set_reader.h"

namespace almondnotch {

std::string toString(const config_fault &fault)
{
    std::string line;
    if (!fault.file.empty())
        line += fault.file + ":" + std::to_string(fault.line) + ": ";
    if (!fault.object.empty())
        line += fault.object + ": ";
    return line + fault.message;
}

tl::expected<config_objects, std::vector<config_fault>>
parseConfig(const std::vector<config_text> &texts)
{
    std::size_t bytes = 0;
    for (const config_text &each : texts)
        bytes += each.text.size();
    if (texts.size() > configPartsMax || bytes > configBytesMax)
        return tl::unexpected(std::vector<config_fault> {
            {"", 0, "",
             "expected at most " + std::to_string(configPartsMax) + " parts with "
                 + std::to_string(configBytesMax) + " bytes together, found "
                 + std::to_string(texts.size()) + " parts with " + std::to_string(bytes)
                 + " bytes"}});

    fault_list faults(texts);
    located_set set;
    for (std::size_t index = 0; index < texts.size(); ++index)
        set_reader(index, set, faults).read(texts[index].text);
    checkSet(set, faults);
    if (!faults.empty())
        return tl::unexpected(faults.sorted());
    return set.release();
}

} // namespace almondnotch
