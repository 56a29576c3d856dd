#pragma once

#include <mutex>
#include <utility>

namespace chivewinch::base {

/** A value that can be accessed only while its mutex is held. */
template <typename Value> class Guarded {
public:
    template <typename... Arguments>
    explicit Guarded(Arguments&&... arguments)
        : value { std::forward<Arguments>(arguments)... }
    {
    }

    /** Calls the function with the value while holding the mutex, and returns the function's result. */
    template <typename Function> decltype(auto) with(Function&& function)
    {
        const std::lock_guard lock { this->mutex };
        return std::forward<Function>(function)(this->value);
    }

private:
    std::mutex mutex;
    Value value;
};

} // namespace chivewinch::base
