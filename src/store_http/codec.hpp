#pragma once

#include "store/table_service.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::store_http {

/** Content type of requests and answers of the table service. CBOR is used because values are binary. */
inline constexpr const char* tableContentType = "application/cbor";

struct ScanRequest {
    std::string table;
    std::string prefix;
    std::size_t limit = 0;

    bool operator==(const ScanRequest&) const = default;
};

[[nodiscard]] std::string encodeKeys(const std::vector<store::RowKey>& keys);
[[nodiscard]] std::optional<std::vector<store::RowKey>> decodeKeys(std::string_view bytes);

[[nodiscard]] std::string encodeScan(const ScanRequest& request);
[[nodiscard]] std::optional<ScanRequest> decodeScan(std::string_view bytes);

[[nodiscard]] std::string encodeTransaction(const store::Transaction& transaction);
[[nodiscard]] std::optional<store::Transaction> decodeTransaction(std::string_view bytes);

[[nodiscard]] std::string encodeRows(const std::vector<store::Row>& rows);
[[nodiscard]] std::optional<std::vector<store::Row>> decodeRows(std::string_view bytes);

[[nodiscard]] std::string encodeResult(const store::TransactResult& result);
[[nodiscard]] std::optional<store::TransactResult> decodeResult(std::string_view bytes);

} // namespace chivewinch::store_http
