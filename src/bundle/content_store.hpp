#pragma once

#include "bundle/delta.hpp"
#include "store/object_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::bundle {

/**
 * Contents of bundles in the object store. Every object is checked against its hash when read. Each operation keeps
 * itself alive until its callback; the object store must outlive it.
 */
class ContentStore {
public:
    using Object = std::pair<std::string, std::string>; ///< Name and bytes.
    using DoneCallback = std::function<void(bool, const Error&)>;
    using ManifestCallback = std::function<void(std::optional<PartHashes>, const Error&)>;
    using PartsCallback = std::function<void(std::optional<Parts>, const Error&)>;
    /** Called with name and records of each part as it arrives. */
    using PartObserver = std::function<void(const std::string&, const PartRecords&)>;
    using DeltaCallback = std::function<void(std::optional<Delta>, const Error&)>;

    explicit ContentStore(store::ObjectStore& objects) noexcept
        : objects { objects }
    {
    }

    /** Objects of the content that are not in the other manifest. */
    [[nodiscard]] static std::vector<Object> objectsOf(const Parts& parts, const PartHashes& present);
    [[nodiscard]] static Object objectOf(const Delta& delta);

    /** Stores objects one after the other; one that exists already counts as stored. */
    void putAll(std::vector<Object> wanted, DoneCallback callback);

    void manifest(const std::string& content, ManifestCallback callback);
    /** MissingPart or Altered if any part cannot be had. */
    void parts(PartHashes wanted, PartsCallback callback, PartObserver observer = {});
    /** All parts of a content. */
    void load(const std::string& content, PartsCallback callback);
    void delta(const std::string& from, const std::string& to, DeltaCallback callback);

private:
    store::ObjectStore& objects;
};

} // namespace chivewinch::bundle
