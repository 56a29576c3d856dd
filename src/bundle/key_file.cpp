#include "bundle/signature.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace chivewinch::bundle {

namespace internal {

bool fail(Error& reason, const std::string& path, const std::string& what)
{
    reason = { .code = ErrorCode::Invalid, .detail = path + ": " + what };
    return false;
}

bool writeAll(int file, std::string_view text)
{
    while (!text.empty()) {
        const auto written = ::write(file, text.data(), text.size());
        if (written <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace internal

bool writeKeyFile(const std::string& path, const PrivateKey& key, Error& reason)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file < 0)
        return internal::fail(reason, path, std::strerror(errno));
    const bool written = internal::writeAll(file, key.toPem());
    const bool closed = ::close(file) == 0;
    return (written && closed) || internal::fail(reason, path, "the key could not be written completely");
}

std::optional<PrivateKey> readKeyFile(const std::string& path, Error& reason)
{
    struct stat status { };
    if (::stat(path.c_str(), &status) != 0) {
        internal::fail(reason, path, std::strerror(errno));
        return std::nullopt;
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        internal::fail(reason, path, "other users may read this private key; use chmod 600");
        return std::nullopt;
    }
    std::ifstream file { path, std::ios::binary };
    std::ostringstream text;
    text << file.rdbuf();
    return PrivateKey::fromPem(text.str(), reason);
}

} // namespace chivewinch::bundle
