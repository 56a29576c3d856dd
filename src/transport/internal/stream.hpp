#pragma once

#include "transport/session.hpp"

#include <memory>
#include <string>

namespace chivewinch::transport {

/** Send queue and observer of one stream. */
struct Session::Stream {
    explicit Stream(std::shared_ptr<StreamObserver> observer)
        : observer { std::move(observer) }
    {
    }

    std::shared_ptr<StreamObserver> observer;
    std::string queue;
    std::size_t offset = 0;
    std::string path;
    bool finished = false;
    bool sentAny = false;
    bool wasAboveLowWater = false;

    [[nodiscard]] std::size_t pending() const noexcept { return this->queue.size() - this->offset; }
};

} // namespace chivewinch::transport
