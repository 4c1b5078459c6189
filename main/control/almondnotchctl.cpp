#include <exception>
#include <iostream>

#include <unistd.h>

#include "main/control/control.h"

/// Command line tool for operators; `almondnotchctl --help` lists its commands.
int main(int argc, char **argv)
{
    try {
        const std::vector<std::string> words(argv + 1, argv + argc);
        return static_cast<int>(
            almondnotch::runCommandLine(words, std::cout, std::cerr, isatty(STDOUT_FILENO) == 1));
    } catch (const std::exception &failure) {
        std::cerr << "almondnotchctl: internal error: " << failure.what() << "\n";
        return static_cast<int>(almondnotch::exit_code::failed);
    }
}
