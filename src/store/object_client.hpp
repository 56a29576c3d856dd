#pragma once

#include "store/coalescer.hpp"
#include "store/object_store.hpp"

namespace chivewinch::store::internal {

/** Wraps an ObjectStore and applies the deadlines, retries, budget, coalescing and re-reads of Client. */
class ObjectClient final : public ObjectStore {
public:
    ObjectClient(ObjectStore& next, std::shared_ptr<ClientCore> core);

    /** Reports Created if, after an ambiguous attempt, an object with the same bytes exists. */
    void putIfAbsent(std::string name, std::string bytes, PutCallback callback) override;
    void get(std::string name, GetCallback callback) override;
    void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) override;

private:
    ObjectStore& next;
    std::shared_ptr<ClientCore> core;
    std::shared_ptr<Coalescer<std::optional<std::string>>> reads;
    std::shared_ptr<Coalescer<std::vector<std::string>>> lists;
};

} // namespace chivewinch::store::internal
