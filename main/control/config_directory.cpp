#include "main/control/config_directory.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace almondnotch {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view step = "read configuration";

result<config_text> readText(const fs::path &path)
{
    std::ifstream in(path, std::ios::binary);
    // Reads one byte more than allowed, so that `parseConfig` detects a file that is too large.
    std::string text(configValueBytesMax + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (!in && !in.eof()))
        return fail(error_code::not_found, step, path.string(), "the file cannot be read");
    text.resize(static_cast<std::size_t>(in.gcount()));
    return config_text {path.filename().string(), std::move(text)};
}

} // namespace

result<std::vector<config_text>> readConfigDirectory(const std::string &directory)
{
    std::error_code failure;
    std::vector<fs::path> paths;
    fs::directory_iterator it(directory, failure);
    for (; !failure && it != fs::directory_iterator(); it.increment(failure)) {
        if (it->path().extension() == ".toml" && it->is_regular_file(failure))
            paths.push_back(it->path());
        if (paths.size() > configPartsMax)
            return fail(error_code::out_of_bounds, step, directory,
                        "expected at most " + std::to_string(configPartsMax) + " *.toml files");
    }
    if (failure)
        return fail(error_code::not_found, step, directory, failure.message());
    if (paths.empty())
        return fail(error_code::not_found, step, directory,
                    "expected *.toml files, found none in the directory");
    std::sort(paths.begin(), paths.end());
    std::vector<config_text> texts;
    for (const fs::path &path : paths) {
        result<config_text> text = readText(path);
        if (!text)
            return tl::unexpected(text.error());
        texts.push_back(std::move(*text));
    }
    return texts;
}

result<void> writeFileAtomically(const std::string &path, const std::string &content)
{
    const std::string temporary = path + ".new";
    std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
    out << content;
    out.close();
    std::error_code failure;
    if (out)
        fs::rename(temporary, path, failure);
    if (!out || failure) {
        std::error_code ignored;
        fs::remove(temporary, ignored);
        return fail(error_code::unavailable, "write file", path,
                    failure ? failure.message() : "the file cannot be written");
    }
    return {};
}

} // namespace almondnotch
