#include "bundle/content_store.hpp"

#include "bundle/digest.hpp"

#include <memory>

namespace chivewinch::bundle {

namespace internal {

std::string partObject(const std::string& hash) { return "bundle/part/" + hash; }
std::string manifestObject(const std::string& content) { return "bundle/manifest/" + content; }
std::string deltaObject(const std::string& from, const std::string& to) { return "bundle/delta/" + from + "/" + to; }

Error fromStore(const store::Error& error)
{
    return { .code = ErrorCode::StoreUnavailable,
        .detail = std::string { toString(error.code) } + ": " + error.detail };
}

/** Reads an object and checks its SHA-256. */
void getChecked(store::ObjectStore& objects, const std::string& name, const std::string& hash,
    std::function<void(std::optional<std::string>, const Error&)> callback)
{
    objects.get(name,
        [name, hash, callback = std::move(callback)](
            std::optional<std::optional<std::string>> object, const store::Error& error) {
            if (!object)
                callback(std::nullopt, fromStore(error));
            else if (!*object)
                callback(std::nullopt, { .code = ErrorCode::MissingPart, .detail = name });
            else if (sha256Hex(**object) != hash)
                callback(std::nullopt, { .code = ErrorCode::Altered, .detail = name });
            else
                callback(std::move(*object), {});
        });
}

/** Stores a list of objects one after the other. */
class PutAll : public std::enable_shared_from_this<PutAll> {
public:
    PutAll(store::ObjectStore& objects, std::vector<ContentStore::Object> wanted, ContentStore::DoneCallback callback)
        : objects { objects }
        , wanted { std::move(wanted) }
        , callback { std::move(callback) }
    {
    }

    void run()
    {
        if (this->done == this->wanted.size()) {
            this->callback(true, {});
            return;
        }
        const auto& [name, bytes] = this->wanted[this->done];
        this->objects.putIfAbsent(
            name, bytes, [self = this->shared_from_this()](auto result, const store::Error& error) {
                if (!result) {
                    self->callback(false, fromStore(error));
                    return;
                }
                ++self->done;
                self->run();
            });
    }

private:
    store::ObjectStore& objects;
    std::vector<ContentStore::Object> wanted;
    ContentStore::DoneCallback callback;
    std::size_t done = 0;
};

/** Reads a list of parts one after the other. */
class GetParts : public std::enable_shared_from_this<GetParts> {
public:
    GetParts(store::ObjectStore& objects, PartHashes wanted, ContentStore::PartsCallback callback,
        ContentStore::PartObserver observer)
        : objects { objects }
        , wanted { std::move(wanted) }
        , callback { std::move(callback) }
        , observer { std::move(observer) }
        , position { this->wanted.begin() }
    {
    }

    void run()
    {
        if (this->position == this->wanted.end()) {
            this->callback(std::move(this->found), {});
            return;
        }
        const auto& hash = this->position->second;
        getChecked(this->objects, partObject(hash), hash,
            [self = this->shared_from_this()](
                const std::optional<std::string>& bytes, const Error& error) { self->onPart(bytes, error); });
    }

private:
    store::ObjectStore& objects;
    PartHashes wanted;
    ContentStore::PartsCallback callback;
    ContentStore::PartObserver observer;
    PartHashes::const_iterator position;
    Parts found;

    void onPart(const std::optional<std::string>& bytes, const Error& error)
    {
        auto records = bytes ? parsePartText(*bytes) : std::nullopt;
        if (!records) {
            const Error malformed { .code = ErrorCode::Invalid, .detail = "malformed part " + this->position->first };
            this->callback(std::nullopt, bytes ? malformed : error);
            return;
        }
        if (this->observer)
            this->observer(this->position->first, *records);
        this->found.emplace(this->position->first, std::move(*records));
        ++this->position;
        this->run();
    }
};

} // namespace internal

std::vector<ContentStore::Object> ContentStore::objectsOf(const Parts& parts, const PartHashes& present)
{
    std::vector<Object> objects;
    const auto hashes = hashParts(parts);
    for (const auto& [name, records] : parts) {
        const auto& hash = hashes.at(name);
        const auto known = present.find(name);
        if (known == present.end() || known->second != hash)
            objects.emplace_back(internal::partObject(hash), partText(records));
    }
    objects.emplace_back(internal::manifestObject(contentHash(hashes)), manifestText(hashes));
    return objects;
}

ContentStore::Object ContentStore::objectOf(const Delta& delta)
{
    return { internal::deltaObject(delta.from, delta.to), encode(delta) };
}

void ContentStore::putAll(std::vector<Object> wanted, DoneCallback callback)
{
    std::make_shared<internal::PutAll>(this->objects, std::move(wanted), std::move(callback))->run();
}

void ContentStore::manifest(const std::string& content, ManifestCallback callback)
{
    internal::getChecked(this->objects, internal::manifestObject(content), content,
        [callback = std::move(callback)](const std::optional<std::string>& bytes, const Error& error) {
            auto hashes = bytes ? parseManifest(*bytes) : std::nullopt;
            if (bytes && !hashes)
                callback(std::nullopt, { .code = ErrorCode::Invalid, .detail = "malformed manifest" });
            else
                callback(std::move(hashes), error);
        });
}

void ContentStore::parts(PartHashes wanted, PartsCallback callback, PartObserver observer)
{
    std::make_shared<internal::GetParts>(this->objects, std::move(wanted), std::move(callback), std::move(observer))
        ->run();
}

void ContentStore::load(const std::string& content, PartsCallback callback)
{
    this->manifest(content,
        [&objects = this->objects, callback = std::move(callback)](
            std::optional<PartHashes> hashes, const Error& error) mutable {
            if (hashes)
                ContentStore { objects }.parts(std::move(*hashes), std::move(callback));
            else
                callback(std::nullopt, error);
        });
}

void ContentStore::delta(const std::string& from, const std::string& to, DeltaCallback callback)
{
    this->objects.get(internal::deltaObject(from, to),
        [from, to, callback = std::move(callback)](
            const std::optional<std::optional<std::string>>& object, const store::Error& error) {
            if (!object) {
                callback(std::nullopt, internal::fromStore(error));
                return;
            }
            // No hash of the delta is stored. Damage is detected by the content hash after the delta is applied.
            auto delta = *object ? decodeDelta(**object) : std::nullopt;
            if (delta && delta->from == from && delta->to == to)
                callback(std::move(delta), {});
            else
                callback(std::nullopt,
                    { .code = ErrorCode::MissingPart, .detail = "the stored delta is missing or malformed" });
        });
}

} // namespace chivewinch::bundle
