#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::http {

/**
 * Header fields of a request for messages of Beast, in the order in which they were added. A name or value may have any
 * size, unlike with the container of Beast, which throws if one has more than 65,533 bytes.
 */
class Fields {
public:
    using StringView = boost::beast::string_view;
    using FieldName = boost::beast::http::field;

    /** Name and value of a field; valid until the fields change. */
    class Field {
    public:
        Field(FieldName known, StringView nameText, StringView valueText) noexcept
            : known { known }
            , nameText { nameText }
            , valueText { valueText }
        {
        }

        [[nodiscard]] FieldName name() const noexcept { return this->known; }
        // NOLINTNEXTLINE(readability-identifier-naming): the name that Beast's fields have.
        [[nodiscard]] StringView name_string() const noexcept { return this->nameText; }
        [[nodiscard]] StringView value() const noexcept { return this->valueText; }

    private:
        FieldName known;
        StringView nameText;
        StringView valueText;
    };

    class Iterator;
    class writer;

    [[nodiscard]] Iterator begin() const noexcept;
    [[nodiscard]] Iterator end() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

    /** Value of the first field with this name; empty if there is none. */
    [[nodiscard]] StringView operator[](FieldName name) const noexcept;
    [[nodiscard]] StringView operator[](StringView name) const noexcept;
    [[nodiscard]] std::size_t count(FieldName name) const noexcept;
    [[nodiscard]] std::size_t count(StringView name) const noexcept;
    /** Replaces all fields with this name. */
    void set(FieldName name, StringView value);
    void set(StringView name, StringView value);
    /** Adds a field after all others. */
    void insert(StringView name, StringView value);
    void insert(FieldName known, StringView name, StringView value);
    void erase(FieldName name);
    void erase(StringView name);

protected:
    // Required of the fields of a message by Beast.
    // NOLINTBEGIN(readability-identifier-naming)
    [[nodiscard]] StringView get_method_impl() const noexcept { return this->method; }
    [[nodiscard]] StringView get_target_impl() const noexcept { return this->target; }
    [[nodiscard]] StringView get_reason_impl() const noexcept { return {}; }
    [[nodiscard]] bool get_chunked_impl() const;
    [[nodiscard]] bool get_keep_alive_impl(unsigned version) const;
    [[nodiscard]] bool has_content_length_impl() const;
    void set_method_impl(StringView text) { this->method.assign(text.data(), text.size()); }
    void set_target_impl(StringView text) { this->target.assign(text.data(), text.size()); }
    void set_reason_impl(StringView) noexcept { }
    void set_chunked_impl(bool isChunked);
    void set_content_length_impl(const boost::optional<std::uint64_t>& length);
    void set_keep_alive_impl(unsigned version, bool isKept);
    // NOLINTEND(readability-identifier-naming)

private:
    /** Positions in the text. */
    struct Entry {
        FieldName known = FieldName::unknown;
        std::size_t nameBegin = 0;
        std::size_t valueBegin = 0;
        std::size_t end = 0;
    };

    std::string method;
    std::string target;
    std::string text; ///< Names and values, also of erased fields.
    std::vector<Entry> entries;

    [[nodiscard]] StringView nameOf(const Entry& entry) const noexcept;
    [[nodiscard]] StringView valueOf(const Entry& entry) const noexcept;
    [[nodiscard]] bool hasName(const Entry& entry, FieldName known, StringView name) const noexcept;
    [[nodiscard]] StringView find(FieldName known, StringView name) const noexcept;
    [[nodiscard]] std::size_t count(FieldName known, StringView name) const noexcept;
    void erase(FieldName known, StringView name);
};

/** Iterates over the fields in their order. */
class Fields::Iterator {
public:
    using value_type = Field;
    using difference_type = std::ptrdiff_t;
    using reference = Field;
    using pointer = void;
    using iterator_category = std::input_iterator_tag;

    Iterator(const Fields& fields, std::size_t index) noexcept
        : fields { &fields }
        , index { index }
    {
    }

    [[nodiscard]] Field operator*() const noexcept;
    Iterator& operator++() noexcept
    {
        ++this->index;
        return *this;
    }
    [[nodiscard]] bool operator==(const Iterator&) const noexcept = default;

private:
    const Fields* fields;
    std::size_t index;
};

/** Serializes the request line and the fields. */
class Fields::writer { // NOLINT(readability-identifier-naming): required by Beast.
public:
    using const_buffers_type = boost::asio::const_buffer; // NOLINT(readability-identifier-naming)

    writer(const Fields& fields, unsigned version, boost::beast::http::verb method);

    [[nodiscard]] const_buffers_type get() const noexcept { return boost::asio::buffer(this->head); }

private:
    std::string head;
};

} // namespace chivewinch::http
