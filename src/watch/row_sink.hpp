#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chivewinch::watch {

/** One table of a store that takes rows. */
class RowSink {
public:
    template <typename Result> using Task = boost::asio::awaitable<Result>;

    RowSink() = default;
    RowSink(const RowSink&) = delete;
    RowSink& operator=(const RowSink&) = delete;
    virtual ~RowSink() = default;

    /** Writes the row, whatever it held; false without the store's acknowledgement, and it may be written still. */
    [[nodiscard]] virtual Task<bool> put(std::string key, std::string value) = 0;
};

} // namespace chivewinch::watch
