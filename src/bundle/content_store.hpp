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
 * Reads and writes the contents of bundles in the object store. Every manifest and part is checked against its hash
 * when it is read. The state of an operation lives until its callback has run; the object store must outlive it.
 */
class ContentStore {
public:
    using Object = std::pair<std::string, std::string>; ///< Name and bytes.
    using DoneCallback = std::function<void(bool, const Error&)>;
    using ManifestCallback = std::function<void(std::optional<PartHashes>, const Error&)>;
    using PartsCallback = std::function<void(std::optional<Parts>, const Error&)>;
    /** Called with the name and records of each part when the part has been read. */
    using PartObserver = std::function<void(const std::string&, const PartRecords&)>;
    using DeltaCallback = std::function<void(std::optional<Delta>, const Error&)>;

    explicit ContentStore(store::ObjectStore& objects) noexcept
        : objects { objects }
    {
    }

    /** Objects of the parts that are not in the manifest `present`, and the manifest object of the content. */
    [[nodiscard]] static std::vector<Object> objectsOf(const Parts& parts, const PartHashes& present);
    [[nodiscard]] static Object objectOf(const Delta& delta);

    /** Stores objects one after the other. An object that already exists counts as stored. */
    void putAll(std::vector<Object> wanted, DoneCallback callback);

    void manifest(const std::string& content, ManifestCallback callback);
    /** Reads parts. Fails with MissingPart if a part is absent and with Altered if a part does not match its hash. */
    void parts(PartHashes wanted, PartsCallback callback, PartObserver observer = {});
    /** Reads all parts of the content with this hash. */
    void load(const std::string& content, PartsCallback callback);
    void delta(const std::string& from, const std::string& to, DeltaCallback callback);

private:
    store::ObjectStore& objects;
};

} // namespace chivewinch::bundle
