#pragma once

#include "store/client_core.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::store::internal {

/** Sends one request for identical reads that overlap in time. */
template <typename Result> class Coalescer : public std::enable_shared_from_this<Coalescer<Result>> {
public:
    explicit Coalescer(std::shared_ptr<ClientCore> core)
        : core { std::move(core) }
    {
    }

    /** Reads with the same identity and write epoch share one answer. */
    void read(const std::string& identity, SendFunction<Result> send, ResultCallback<Result> done)
    {
        if (!this->core->options.coalesceReads) {
            retry<Result>(
                this->core, OperationKind::Read, this->core->operationEnd(), std::move(send), std::move(done));
            return;
        }
        const Key key { this->core->writeEpoch, identity };
        auto& waiting = this->inFlight[key];
        waiting.push_back(std::move(done));
        if (waiting.size() > 1) {
            ++this->core->stats.coalesced;
            return;
        }
        retry<Result>(this->core, OperationKind::Read, this->core->operationEnd(), std::move(send),
            [weak = this->weak_from_this(), key](const std::optional<Result>& result, const Error& error) {
                if (const auto self = weak.lock())
                    self->answer(key, result, error);
            });
    }

private:
    using Key = std::pair<std::uint64_t, std::string>;

    std::shared_ptr<ClientCore> core;
    std::map<Key, std::vector<ResultCallback<Result>>> inFlight;

    void answer(const Key& key, const std::optional<Result>& result, const Error& error)
    {
        auto node = this->inFlight.extract(key);
        for (const auto& done : node.mapped())
            done(result, error);
    }
};

} // namespace chivewinch::store::internal
