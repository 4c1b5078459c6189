#pragma once

#include <string>
#include <string_view>

#include <toml++/toml.h>

#include "config/fault_list.h"
#include "config/located_set.h"
#include "config/object_reader.h"

namespace almondnotch {

/// Reads the objects of one text into the set.
class set_reader
{
public:
    /// \param textIndex index of the text in the set.
    /// \param output, faults must outlive the reader.
    set_reader(std::size_t textIndex, located_set &output, fault_list &faults);

    void read(std::string_view toml);

private:
    using read_function = void (set_reader::*)(const toml::table &);

    /// A kind of object: its table name in TOML, the maximum number of objects of this kind in a
    /// set, and functions that read one object and count those already read.
    struct object_kind
    {
        std::string_view table;
        std::size_t countMax;
        read_function read;
        std::size_t (*count)(const located_set &);
    };

    static const std::vector<object_kind> &kinds();

    void readTables(const toml::table &root);
    void readKind(const object_kind &kind, const toml::node &node);
    void readLimits(const toml::table &table);
    void readFailureDomain(const toml::table &table);
    void readEntryVm(const toml::table &table);
    void readBudget(const toml::table &table);
    void readPriorityClass(const toml::table &table);
    void readGroup(const toml::table &table);
    void readWorker(const toml::table &table);
    void readService(const toml::table &table);
    void readRule(const toml::table &table);
    void addFault(int line, const std::string &message);

    std::size_t m_textIndex;
    located_set &m_set;
    fault_list &m_faults;
};

} // namespace almondnotch
