#include "usage/collector.hpp"

#include <utility>

namespace chivewinch::usage {

namespace internal {

constexpr std::size_t listPageSize = 1000;

} // namespace internal

Collector::Collector(store::ObjectStore& objects, std::size_t maxReads) noexcept
    : objects { objects }
    , maxReads { maxReads }
{
}

void Collector::collect(std::vector<std::string> wanted, ObjectCallback object, DoneCallback done)
{
    this->prefixes.assign(wanted.begin(), wanted.end());
    this->names.clear();
    this->lastListed.clear();
    this->failure = {};
    this->onObject = std::move(object);
    this->onDone = std::move(done);
    this->pump();
}

void Collector::pump()
{
    // A store may run a callback before its call returns. This loop avoids recursion of unbounded depth in that case.
    if (std::exchange(this->pumping, true))
        return;
    while (this->startNext()) { }
    this->pumping = false;
    const bool failed = this->failure.code != ErrorCode::None;
    const bool finished = failed || (this->prefixes.empty() && this->names.empty());
    if (finished && !this->listing && this->reads == 0 && this->onDone) {
        // The callback may destroy this object.
        const auto reason = this->failure;
        std::exchange(this->onDone, nullptr)(reason);
    }
}

bool Collector::startNext()
{
    if (this->failure.code != ErrorCode::None || this->reads >= this->maxReads || this->listing)
        return false;
    if (!this->names.empty()) {
        auto name = std::move(this->names.front());
        this->names.pop_front();
        this->read(std::move(name));
        return true;
    }
    if (this->prefixes.empty())
        return false;
    this->list();
    return true;
}

void Collector::list()
{
    this->listing = true;
    this->objects.list(this->prefixes.front(), this->lastListed, internal::listPageSize,
        [this, token = std::weak_ptr<int> { this->alive }](const auto& page, const store::Error& error) {
            if (!token.expired())
                this->onListed(page, error);
        });
}

void Collector::onListed(const std::optional<std::vector<std::string>>& page, const store::Error& error)
{
    this->listing = false;
    if (!page) {
        this->fail(error);
    } else if (page->size() < internal::listPageSize) {
        this->prefixes.pop_front();
        this->lastListed.clear();
    } else {
        this->lastListed = page->back();
    }
    if (page)
        this->names.insert(this->names.end(), page->begin(), page->end());
    this->pump();
}

void Collector::read(std::string name)
{
    ++this->reads;
    auto callback
        = [this, name, token = std::weak_ptr<int> { this->alive }](const auto& bytes, const store::Error& error) {
              if (!token.expired())
                  this->onRead(name, bytes, error);
          };
    this->objects.get(std::move(name), std::move(callback));
}

void Collector::onRead(
    const std::string& name, const std::optional<std::optional<std::string>>& bytes, const store::Error& error)
{
    --this->reads;
    if (!bytes)
        this->fail(error);
    else if (*bytes)
        this->onObject(name, **bytes);
    this->pump();
}

void Collector::fail(const store::Error& error)
{
    this->failure = { .code = ErrorCode::StoreUnavailable,
        .detail = std::string { store::toString(error.code) } + ": " + error.detail };
}

} // namespace chivewinch::usage
