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

/** Probes the load of one target periodically and detects crashes and restarts. */
class TargetMonitor {
public:
    /** Called after a crash, with the incarnation that the target had before the crash. */
    using CrashHandler = std::function<void(base::Incarnation)>;
    using UpHandler = std::function<void()>;

    TargetMonitor(http::Client& client, std::chrono::milliseconds interval, CrashHandler onCrash, UpHandler onUp);

    /** Probes at the configured interval until stop() is called. */
    [[nodiscard]] http::Task<void> run();
    /** Probes immediately. Returns true if a crash was detected while the probe was running. */
    [[nodiscard]] http::Task<bool> probe();
    void stop();

    /** Returns false before the first successful probe and while the target is unreachable. */
    [[nodiscard]] bool up() const noexcept { return this->incarnation.has_value(); }
    /** Incarnation of the target; 0 while the target is unreachable. */
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

    [[nodiscard]] bool handleResponse(const std::string& body);
    [[nodiscard]] bool handleFailure(const http::Error& reason);
    void reportCrash();
};

} // namespace chivewinch::agent
