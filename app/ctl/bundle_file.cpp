#include "ctl/bundle_file.hpp"

#include "bundle/parse.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

namespace chivewinch::ctl {

std::optional<bundle::Bundle> readBundle(const std::string& path)
{
    std::ifstream file { path };
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "file " << path << " cannot be read\n";
        return std::nullopt;
    }
    std::vector<bundle::ConfigError> errors;
    auto parsed = bundle::parse(text.str(), errors);
    for (const auto& error : errors) {
        const auto value = error.value.empty() ? std::string {} : " (found " + error.value + ")";
        std::cerr << error.path << value << ": " << error.fix << "\n";
    }
    return parsed;
}

} // namespace chivewinch::ctl
