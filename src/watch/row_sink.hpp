#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chivewinch::watch {

/** Write access to one table of a store. */
class RowSink {
public:
    template <typename Result> using Task = boost::asio::awaitable<Result>;

    RowSink() = default;
    RowSink(const RowSink&) = delete;
    RowSink& operator=(const RowSink&) = delete;
    virtual ~RowSink() = default;

    /**
     * Writes the row unconditionally. Returns false if the store did not acknowledge the write; the row may still be
     * written in that case.
     */
    [[nodiscard]] virtual Task<bool> put(std::string key, std::string value) = 0;
};

} // namespace chivewinch::watch
