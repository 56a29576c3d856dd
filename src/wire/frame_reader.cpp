#include "wire/frame_reader.hpp"

#include <boost/endian/conversion.hpp>

namespace chivewinch::wire {

namespace internal {

// The buffer is compacted only if the consumed part is larger than this, so that a stream of n bytes in small messages
// is processed in O(n) time.
constexpr std::size_t compactThresholdBytes = 64U << 10;

} // namespace internal

void appendFrame(std::string& out, std::string_view message)
{
    unsigned char prefix[lengthPrefixBytes];
    boost::endian::store_big_u32(prefix, static_cast<std::uint32_t>(message.size()));
    out.append(reinterpret_cast<const char*>(prefix), sizeof(prefix));
    out.append(message);
}

void FrameReader::append(std::string_view bytes)
{
    if (this->offset == this->buffer.size()) {
        this->buffer.clear();
        this->offset = 0;
    } else if (this->offset > internal::compactThresholdBytes) {
        this->buffer.erase(0, this->offset);
        this->offset = 0;
    }
    this->buffer.append(bytes);
}

std::optional<std::string> FrameReader::next()
{
    if (this->isMalformed || this->pendingBytes() < lengthPrefixBytes)
        return std::nullopt;
    const auto* prefix = reinterpret_cast<const unsigned char*>(this->buffer.data() + this->offset);
    const std::size_t length = boost::endian::load_big_u32(prefix);
    if (length > this->maxBytes) {
        this->isMalformed = true;
        return std::nullopt;
    }
    if (this->pendingBytes() < lengthPrefixBytes + length)
        return std::nullopt;
    auto message = this->buffer.substr(this->offset + lengthPrefixBytes, length);
    this->offset += lengthPrefixBytes + length;
    return message;
}

} // namespace chivewinch::wire
