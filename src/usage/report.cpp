#include "usage/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivewinch::usage {

namespace internal {

struct KeyColumn {
    std::string_view name;
    bool Grouping::*kept;
    std::string (*text)(const TotalsKey&);
};

constexpr std::array<KeyColumn, 4> keyColumns { {
    { "hour", &Grouping::hour, [](const TotalsKey& key) { return hourText(key.hour); } },
    { "owner", &Grouping::owner, [](const TotalsKey& key) { return key.subject.owner; } },
    { "team", &Grouping::team, [](const TotalsKey& key) { return key.subject.team; } },
    { "model", &Grouping::model, [](const TotalsKey& key) { return key.subject.model; } },
} };

using Row = std::vector<std::string>;

/** Table cells as text; the first row is the header. */
std::vector<Row> rowsOf(const Split& split, const Grouping& grouping, const std::vector<TotalsField>& fields)
{
    std::vector<Row> rows(1);
    for (const auto& column : keyColumns) {
        if (grouping.*column.kept)
            rows[0].emplace_back(column.name);
    }
    for (const auto& field : fields)
        rows[0].emplace_back(field.name);
    for (const auto& [key, totals] : split) {
        Row row;
        for (const auto& column : keyColumns) {
            if (grouping.*column.kept)
                row.push_back(column.text(key));
        }
        for (const auto& field : fields)
            row.push_back(std::to_string(totals.*field.member));
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<TotalsField> usedFields(const Split& split)
{
    std::vector<TotalsField> fields;
    std::copy_if(totalsFields.begin(), totalsFields.end(), std::back_inserter(fields), [&split](const auto& field) {
        return std::any_of(
            split.begin(), split.end(), [&field](const auto& line) { return line.second.*field.member != 0; });
    });
    return fields;
}

std::string aligned(const std::vector<Row>& rows)
{
    std::vector<std::size_t> widths(rows[0].size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string quoted(const std::string& cell)
{
    if (cell.find_first_of(",\"\r\n") == std::string::npos)
        return cell;
    std::string text;
    text += '"';
    for (const auto character : cell) {
        if (character == '"')
            text += '"';
        text += character;
    }
    text += '"';
    return text;
}

nlohmann::ordered_json toJson(const FindingPlace& place)
{
    nlohmann::ordered_json json { { "segment", place.segment } };
    if (place.record)
        json["record"] = *place.record;
    return json;
}

nlohmann::ordered_json toJson(const Finding& finding)
{
    nlohmann::ordered_json json { { "kind", toString(finding.kind) }, { "defect", isDefect(finding.kind) },
        { "place", toJson(finding.place) } };
    if (!finding.other.segment.empty())
        json["other"] = toJson(finding.other);
    json["detail"] = finding.detail;
    return json;
}

} // namespace internal

bool Report::clean() const noexcept
{
    return std::none_of(
        this->findings.begin(), this->findings.end(), [](const Finding& finding) { return isDefect(finding.kind); });
}

std::map<std::string, Totals> Report::perOwner() const
{
    std::map<std::string, Totals> owners;
    for (const auto& [key, totals] : this->split)
        owners[key.subject.owner] += totals;
    return owners;
}

Split grouped(const Split& split, const Grouping& grouping)
{
    Split result;
    for (const auto& [key, totals] : split) {
        TotalsKey kept;
        if (grouping.hour)
            kept.hour = key.hour;
        if (grouping.owner)
            kept.subject.owner = key.subject.owner;
        if (grouping.team)
            kept.subject.team = key.subject.team;
        if (grouping.model)
            kept.subject.model = key.subject.model;
        result[kept] += totals;
    }
    return result;
}

std::string renderTable(const Report& report, const Grouping& grouping)
{
    const auto split = grouped(report.split, grouping);
    auto text = internal::aligned(internal::rowsOf(split, grouping, internal::usedFields(split)));
    for (const auto& finding : report.findings)
        text += toString(finding) + '\n';
    return text;
}

std::string renderJson(const Report& report, const Grouping& grouping)
{
    nlohmann::ordered_json json { { "clean", report.clean() }, { "segments", report.segments },
        { "records", report.records }, { "bytes", report.bytes } };
    json["totals"] = nlohmann::ordered_json::array();
    for (const auto& [key, totals] : grouped(report.split, grouping)) {
        nlohmann::ordered_json line;
        for (const auto& column : internal::keyColumns) {
            if (grouping.*column.kept)
                line[std::string { column.name }] = column.text(key);
        }
        for (const auto& field : totalsFields)
            line[std::string { field.name }] = totals.*field.member;
        json["totals"].push_back(std::move(line));
    }
    json["findings"] = nlohmann::ordered_json::array();
    for (const auto& finding : report.findings)
        json["findings"].push_back(internal::toJson(finding));
    // Names may contain arbitrary bytes. Invalid UTF-8 is replaced, because JSON cannot represent it.
    return json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + '\n';
}

std::string renderCsv(const Report& report, const Grouping& grouping)
{
    const std::vector<TotalsField> fields { totalsFields.begin(), totalsFields.end() };
    std::string text;
    for (const auto& row : internal::rowsOf(grouped(report.split, grouping), grouping, fields)) {
        for (std::size_t i = 0; i < row.size(); ++i)
            text.append(i == 0 ? "" : ",").append(internal::quoted(row[i]));
        text += "\r\n";
    }
    return text;
}

} // namespace chivewinch::usage
