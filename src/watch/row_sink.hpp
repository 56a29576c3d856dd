#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace chivewinch::watch {

enum class PutResult : std::uint8_t {
    Failed, ///< The store did not acknowledge the write; the row may still be written.
    Written, ///< Or removed.
    Unchanged, ///< The row had this value already.
};

/** Write access to one table of a store. */
class RowSink {
public:
    template <typename Result> using Task = boost::asio::awaitable<Result>;

    RowSink() = default;
    RowSink(const RowSink&) = delete;
    RowSink& operator=(const RowSink&) = delete;
    virtual ~RowSink() = default;

    /** Writes the row unless it has this value already. */
    [[nodiscard]] virtual Task<PutResult> put(std::string key, std::string value) = 0;
    /** Removes the row, if it exists. */
    [[nodiscard]] virtual Task<PutResult> remove(std::string key) = 0;
};

} // namespace chivewinch::watch
