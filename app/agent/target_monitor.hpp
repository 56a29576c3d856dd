#pragma once

#include "http/client.hpp"
#include "suspect/target_guard.hpp"
#include "wire/wire.pb.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace chivewinch::agent {

/** Watches one target by probing its load, and notices when it crashes or restarts. */
class TargetMonitor {
public:
    /** Called with the incarnation of the target that ended. */
    using CrashHandler = std::function<void(base::Incarnation)>;
    using UpHandler = std::function<void()>;

    TargetMonitor(http::Client& client, std::chrono::milliseconds interval, CrashHandler onCrash, UpHandler onUp);

    /** Probes forever. */
    [[nodiscard]] http::Task<void> run();
    /** Probes now; true if the target has crashed since the previous probe. */
    [[nodiscard]] http::Task<bool> probe();
    void stop();

    /** False until the first successful probe and while the target cannot be reached. */
    [[nodiscard]] bool up() const noexcept { return this->incarnation.has_value(); }
    /** Of the target; 0 while it cannot be reached. */
    [[nodiscard]] base::Incarnation targetIncarnation() const noexcept
    {
        return this->incarnation.value_or(base::Incarnation {});
    }
    [[nodiscard]] const wire::LoadReport& load() const noexcept { return this->report; }

private:
    http::Client& client;
    std::chrono::milliseconds interval;
    CrashHandler onCrash;
    UpHandler onUp;
    std::optional<base::Incarnation> incarnation;
    wire::LoadReport report;
    std::uint32_t failures = 0;
    std::uint64_t crashes = 0;
    bool stopped = false;
    boost::asio::steady_timer* timer = nullptr;

    [[nodiscard]] bool noteAnswer(const std::string& body);
    [[nodiscard]] bool noteFailure(const http::Error& reason);
    void crashed();
};

} // namespace chivewinch::agent
