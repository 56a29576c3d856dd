#include "store/object_client.hpp"

namespace chivewinch::store::internal {

/** Runs one putIfAbsent until its outcome is known. A retry is safe, since it never replaces an existing object. */
class PutOperation : public std::enable_shared_from_this<PutOperation> {
public:
    PutOperation(ObjectStore& next, std::shared_ptr<ClientCore> core, std::string name, std::string bytes,
        ObjectStore::PutCallback callback)
        : next { next }
        , core { std::move(core) }
        , name { std::move(name) }
        , bytes { std::move(bytes) }
        , callback { std::move(callback) }
        , end { this->core->operationEnd() }
    {
    }

    void run()
    {
        const SendFunction<PutResult> send = [self = this->shared_from_this()](ResultCallback<PutResult> done) {
            self->next.putIfAbsent(self->name, self->bytes, std::move(done));
        };
        this->core->attempt<PutResult>(OperationKind::Write, send,
            [self = this->shared_from_this()](
                const std::optional<PutResult>& result, const Error& error) { self->onAnswer(result, error); });
    }

private:
    ObjectStore& next;
    std::shared_ptr<ClientCore> core;
    std::string name;
    std::string bytes;
    ObjectStore::PutCallback callback;
    base::SteadyTime end;
    std::uint32_t failures = 0;
    bool ambiguous = false;

    void onAnswer(const std::optional<PutResult>& result, const Error& error)
    {
        if (result == PutResult::Exists && this->ambiguous)
            this->compare();
        else if (result)
            this->finish(result, {});
        else
            this->onError(error);
    }

    void onError(const Error& error)
    {
        const bool resolvable = error.code == ErrorCode::Ambiguous && this->core->options.resolveAmbiguous;
        const bool refused = error.code == ErrorCode::BudgetExhausted && this->failures == 0;
        this->ambiguous = this->ambiguous || error.code == ErrorCode::Ambiguous;
        if ((resolvable || isRetryable(error.code)) && !refused
            && this->core->retryLater(++this->failures, this->end, [self = this->shared_from_this()] { self->run(); }))
            return;
        if (this->ambiguous)
            this->giveUp();
        else
            this->finish(std::nullopt, error);
    }

    void compare()
    {
        const SendFunction<std::optional<std::string>> send
            = [self = this->shared_from_this()](
                  ResultCallback<std::optional<std::string>> done) { self->next.get(self->name, std::move(done)); };
        retry<std::optional<std::string>>(this->core, OperationKind::Read, this->end, send,
            [self = this->shared_from_this()](
                const std::optional<std::optional<std::string>>& found, const Error&) { self->onObject(found); });
    }

    void onObject(const std::optional<std::optional<std::string>>& found)
    {
        if (!found) {
            this->giveUp();
            return;
        }
        const bool same = *found == this->bytes;
        this->core->stats.resolvedCommitted += same ? 1 : 0;
        this->finish(same ? PutResult::Created : PutResult::Exists, {});
    }

    void giveUp()
    {
        ++this->core->stats.unresolved;
        this->finish(std::nullopt, { .code = ErrorCode::Ambiguous, .detail = "the outcome of a put is not known" });
    }

    void finish(std::optional<PutResult> result, const Error& error)
    {
        ++this->core->writeEpoch;
        this->callback(result, error);
    }
};

ObjectClient::ObjectClient(ObjectStore& next, std::shared_ptr<ClientCore> core)
    : next { next }
    , core { std::move(core) }
    , reads { std::make_shared<Coalescer<std::optional<std::string>>>(this->core) }
    , lists { std::make_shared<Coalescer<std::vector<std::string>>>(this->core) }
{
}

void ObjectClient::putIfAbsent(std::string name, std::string bytes, PutCallback callback)
{
    ++this->core->writeEpoch;
    std::make_shared<PutOperation>(this->next, this->core, std::move(name), std::move(bytes), std::move(callback))
        ->run();
}

void ObjectClient::get(std::string name, GetCallback callback)
{
    const auto identity = name;
    this->reads->read(
        identity, [&next = this->next, name = std::move(name)](auto done) { next.get(name, std::move(done)); },
        std::move(callback));
}

void ObjectClient::list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback)
{
    std::string identity = prefix;
    identity.append(1, '\0').append(startAfter).append(1, '\0').append(std::to_string(limit));
    this->lists->read(
        identity,
        [&next = this->next, prefix = std::move(prefix), startAfter = std::move(startAfter), limit](
            auto done) { next.list(prefix, startAfter, limit, std::move(done)); },
        std::move(callback));
}

} // namespace chivewinch::store::internal
