#pragma once

#include "base/guarded.hpp"
#include "base/random.hpp"
#include "entry/claim_client.hpp"
#include "entry/request_run.hpp"
#include "entry/services.hpp"
#include "http/response_writer.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace chivewinch::entry {

/** Serves the requests of callers: parses, admits, claims and runs them. Thread-safe. */
class CallerService {
public:
    CallerService(Services& services, ClaimClient& claimClient);
    CallerService(const CallerService&) = delete;
    CallerService& operator=(const CallerService&) = delete;

    [[nodiscard]] http::Task<void> serve(const http::Request& request, http::ResponseWriter& writer);

    /** Sets whether the ledger has room for the usage records of new requests; without room they are refused. */
    void setUsageAccepts(bool accepts) noexcept { this->usageAccepts = accepts; }

private:
    Services& services;
    ClaimClient& claimClient;
    prometheus::Counter& completed;
    base::Guarded<base::SeededRandom> requestIds { base::entropySeed() };
    std::atomic<bool> usageAccepts { true };

    [[nodiscard]] std::optional<ApiError> admit(const CallerRequest& request);
    [[nodiscard]] http::Task<void> runAdmitted(const CallerRequest& request, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> runClaimed(
        const CallerRequest& request, http::ResponseWriter& writer, std::shared_ptr<RequestChannel> channel);
    [[nodiscard]] http::Task<void> runGranted(const CallerRequest& request, http::ResponseWriter& writer,
        std::shared_ptr<RequestChannel> channel, std::uint64_t nonce);
    [[nodiscard]] http::Task<void> sendRepeat(
        const CallerRequest& request, http::ResponseWriter& writer, const claim::Repeat& repeat);
    [[nodiscard]] http::Task<void> sendAnswer(
        const CallerRequest& request, http::ResponseWriter& writer, http::Response answer);
    [[nodiscard]] http::Task<void> sendError(
        http::ResponseWriter& writer, const ApiError& error, const std::string& shownId);
    void recordResult(const CallerRequest& request, const RequestRun::Result& result);
};

} // namespace chivewinch::entry
