#pragma once

#include "store/object_store.hpp"
#include "usage/error.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::usage {

/** Reads all objects with the given name prefixes. The number of concurrent reads is bounded. */
class Collector {
public:
    using ObjectCallback = std::function<void(const std::string&, std::string_view)>;
    /** Called once at the end. The code is ErrorCode::None if every object was read. */
    using DoneCallback = std::function<void(const Error&)>;

    explicit Collector(store::ObjectStore& objects, std::size_t maxReads = 8) noexcept;
    Collector(const Collector&) = delete;
    Collector& operator=(const Collector&) = delete;
    ~Collector() = default;

    /**
     * Starts a collection; only one may be in progress. The first failed list or read operation ends the collection,
     * and the caller may then start it again.
     */
    void collect(std::vector<std::string> prefixes, ObjectCallback onObject, DoneCallback onDone);

private:
    store::ObjectStore& objects;
    std::size_t maxReads;
    std::deque<std::string> prefixes;
    std::deque<std::string> names;
    std::string lastListed;
    std::size_t reads = 0;
    bool listing = false;
    bool pumping = false;
    Error failure;
    ObjectCallback onObject;
    DoneCallback onDone;
    std::shared_ptr<int> alive = std::make_shared<int>();

    void pump();
    [[nodiscard]] bool startNext();
    void list();
    void onListed(const std::optional<std::vector<std::string>>& page, const store::Error& error);
    void read(std::string name);
    void onRead(
        const std::string& name, const std::optional<std::optional<std::string>>& bytes, const store::Error& error);
    void fail(const store::Error& error);
};

} // namespace chivewinch::usage
