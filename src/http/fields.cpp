#include "http/fields.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <string>

namespace chivewinch::http {

namespace internal {

namespace beast = boost::beast;

constexpr unsigned persistentVersion = 11;

bool hasToken(Fields::StringView list, Fields::StringView token)
{
    return beast::http::token_list { list }.exists(token);
}

void append(std::string& text, Fields::StringView part) { text.append(part.data(), part.size()); }

} // namespace internal

Fields::Iterator Fields::begin() const noexcept { return { *this, 0 }; }

Fields::Iterator Fields::end() const noexcept { return { *this, this->entries.size() }; }

Fields::Field Fields::Iterator::operator*() const noexcept
{
    const auto& entry = this->fields->entries[this->index];
    return { entry.known, this->fields->nameOf(entry), this->fields->valueOf(entry) };
}

Fields::StringView Fields::nameOf(const Entry& entry) const noexcept
{
    return { this->text.data() + entry.nameBegin, entry.valueBegin - entry.nameBegin };
}

Fields::StringView Fields::valueOf(const Entry& entry) const noexcept
{
    return { this->text.data() + entry.valueBegin, entry.end - entry.valueBegin };
}

bool Fields::hasName(const Entry& entry, FieldName known, StringView name) const noexcept
{
    if (known != FieldName::unknown || entry.known != FieldName::unknown)
        return entry.known == known;
    return boost::beast::iequals(this->nameOf(entry), name);
}

Fields::StringView Fields::find(FieldName known, StringView name) const noexcept
{
    for (const auto& entry : this->entries) {
        if (this->hasName(entry, known, name))
            return this->valueOf(entry);
    }
    return {};
}

std::size_t Fields::count(FieldName known, StringView name) const noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->entries, [&](const Entry& entry) { return this->hasName(entry, known, name); }));
}

void Fields::erase(FieldName known, StringView name)
{
    std::erase_if(this->entries, [&](const Entry& entry) { return this->hasName(entry, known, name); });
}

Fields::StringView Fields::operator[](FieldName name) const noexcept { return this->find(name, {}); }

Fields::StringView Fields::operator[](StringView name) const noexcept
{
    return this->find(boost::beast::http::string_to_field(name), name);
}

std::size_t Fields::count(FieldName name) const noexcept { return this->count(name, {}); }

std::size_t Fields::count(StringView name) const noexcept
{
    return this->count(boost::beast::http::string_to_field(name), name);
}

void Fields::erase(FieldName name) { this->erase(name, {}); }

void Fields::erase(StringView name) { this->erase(boost::beast::http::string_to_field(name), name); }

void Fields::set(FieldName name, StringView value)
{
    this->erase(name, {});
    this->insert(name, boost::beast::http::to_string(name), value);
}

void Fields::set(StringView name, StringView value)
{
    const auto known = boost::beast::http::string_to_field(name);
    this->erase(known, name);
    this->insert(known, name, value);
}

void Fields::insert(StringView name, StringView value)
{
    this->insert(boost::beast::http::string_to_field(name), name, value);
}

void Fields::insert(FieldName known, StringView name, StringView value)
{
    Entry entry { .known = known, .nameBegin = this->text.size() };
    internal::append(this->text, name);
    entry.valueBegin = this->text.size();
    internal::append(this->text, value);
    entry.end = this->text.size();
    this->entries.push_back(entry);
}

bool Fields::get_chunked_impl() const
{
    // The chunked coding must be the last one (RFC 9112, section 6.1).
    const auto value = (*this)[FieldName::transfer_encoding];
    const auto comma = value.rfind(',');
    auto last = comma == StringView::npos ? value : value.substr(comma + 1);
    while (!last.empty() && last.front() == ' ')
        last.remove_prefix(1);
    return boost::beast::iequals(last, "chunked");
}

bool Fields::get_keep_alive_impl(unsigned version) const
{
    const auto value = (*this)[FieldName::connection];
    if (version < internal::persistentVersion)
        return internal::hasToken(value, "keep-alive") && !internal::hasToken(value, "close");
    return !internal::hasToken(value, "close");
}

bool Fields::has_content_length_impl() const { return this->count(FieldName::content_length) > 0; }

void Fields::set_chunked_impl(bool isChunked)
{
    if (isChunked)
        this->set(FieldName::transfer_encoding, "chunked");
    else
        this->erase(FieldName::transfer_encoding);
}

void Fields::set_content_length_impl(const boost::optional<std::uint64_t>& length)
{
    if (length)
        this->set(FieldName::content_length, std::to_string(*length));
    else
        this->erase(FieldName::content_length);
}

void Fields::set_keep_alive_impl(unsigned version, bool isKept)
{
    const bool isDefault = version >= internal::persistentVersion;
    if (isKept == isDefault)
        this->erase(FieldName::connection);
    else
        this->set(FieldName::connection, isKept ? "keep-alive" : "close");
}

Fields::writer::writer(const Fields& fields, unsigned version, boost::beast::http::verb method)
{
    const auto methodText = method == boost::beast::http::verb::unknown ? fields.get_method_impl()
                                                                        : boost::beast::http::to_string(method);
    constexpr std::size_t lineSize = 16;
    this->head.reserve(methodText.size() + fields.target.size() + fields.text.size() + lineSize
        + fields.entries.size() * std::string_view { ": \r\n" }.size());
    internal::append(this->head, methodText);
    this->head += ' ';
    this->head += fields.target;
    this->head += version == internal::persistentVersion ? " HTTP/1.1\r\n" : " HTTP/1.0\r\n";
    for (const auto& field : fields) {
        internal::append(this->head, field.name_string());
        this->head += ": ";
        internal::append(this->head, field.value());
        this->head += "\r\n";
    }
    this->head += "\r\n";
}

} // namespace chivewinch::http
