#pragma once

#include "store/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::store {

enum class PutResult : std::uint8_t {
    Created,
    Exists, ///< An object with that name already exists and stays unchanged.
};

/** The platform's object store. Callbacks run exactly once, possibly before the call returns. */
class ObjectStore {
public:
    using PutCallback = std::function<void(std::optional<PutResult>, const Error&)>;
    /** The outer optional is nullopt on an error, the inner one if no such object exists. */
    using GetCallback = std::function<void(std::optional<std::optional<std::string>>, const Error&)>;
    using ListCallback = std::function<void(std::optional<std::vector<std::string>>, const Error&)>;

    ObjectStore() = default;
    ObjectStore(const ObjectStore&) = delete;
    ObjectStore& operator=(const ObjectStore&) = delete;
    virtual ~ObjectStore() = default;

    /** Creates an object unless one with that name exists. */
    virtual void putIfAbsent(std::string name, std::string bytes, PutCallback callback) = 0;

    virtual void get(std::string name, GetCallback callback) = 0;

    /** Lists up to limit names that start with the prefix and sort after startAfter, in ascending order. */
    virtual void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) = 0;
};

} // namespace chivewinch::store
