#include "bundle/canonical.hpp"
#include "bundle/delta.hpp"
#include "bundle/key_setting.hpp"
#include "bundle/life_cycle.hpp"
#include "bundle/operations.hpp"
#include "ctl/bundle_file.hpp"
#include "ctl/command.hpp"
#include "ctl/platform.hpp"
#include "ctl/table.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <iostream>
#include <utility>

namespace chivewinch::ctl {

namespace {

using Json = nlohmann::ordered_json;
using bundle::VersionRecord;
using settings::ValueType;

settings::Setting fileSetting() { return { "file", "Bundle in TOML", ValueType::text(), std::nullopt }; }

settings::Setting versionSetting(const std::string& name = "version", const std::string& text = "Version of the bundle")
{
    return { name, text, ValueType::integer(1, 1'000'000'000), std::nullopt };
}

std::vector<settings::Setting> withPlatform(std::vector<settings::Setting> own)
{
    for (auto& setting : platformSettings())
        own.push_back(std::move(setting));
    own.push_back({ "owner-keys", "Public keys of the owners: owner=key,owner=key", ValueType::text(), std::nullopt });
    own.push_back({ "operator", "Name under which changes are recorded", ValueType::text(), "operator" });
    own.push_back(outputSetting());
    return own;
}

int exitCodeOf(const bundle::Error& error)
{
    if (error.code == bundle::ErrorCode::LostRace)
        return exitLostRace;
    if (error.code == bundle::ErrorCode::StoreUnavailable)
        return exitStoreUnavailable;
    return settings::exitFailure;
}

int printError(const bundle::Error& error)
{
    std::cerr << bundle::toString(error.code) << ": " << error.detail << "\n";
    return exitCodeOf(error);
}

bool wantsJson(const settings::Values& values) { return values.text("output") == "json"; }

Json toJson(const VersionRecord& record)
{
    auto owners = Json::array();
    for (const auto& [owner, signature] : record.proof.signatures)
        owners.push_back(owner);
    return { { "version", static_cast<std::uint64_t>(record.proof.version) },
        { "base", static_cast<std::uint64_t>(record.proof.base) }, { "state", bundle::toString(record.state) },
        { "content", record.proof.content }, { "signed_by", owners }, { "author", record.author },
        { "rolled_by", record.rolledBy }, { "withdraws", static_cast<std::uint64_t>(record.withdraws) } };
}

std::vector<std::string> toRow(const VersionRecord& record)
{
    std::string owners;
    for (const auto& [owner, signature] : record.proof.signatures)
        owners += (owners.empty() ? "" : ",") + owner;
    return { bundle::toString(record.proof.version), bundle::toString(record.proof.base),
        std::string { bundle::toString(record.state) }, record.proof.content.substr(0, 12), owners, record.author,
        record.rolledBy };
}

void print(const std::vector<VersionRecord>& records, bool json)
{
    if (json) {
        auto array = Json::array();
        for (const auto& record : records)
            array.push_back(toJson(record));
        std::cout << array.dump(2) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> rows { { "VERSION", "BASE", "STATE", "CONTENT", "SIGNED BY", "AUTHOR",
        "ROLLED BY" } };
    for (const auto& record : records)
        rows.push_back(toRow(record));
    std::cout << renderTable(rows);
}

/** Platform clients and bundle operations for one command. */
struct Session {
    explicit Session(const settings::Values& values, bundle::TrustedKeys keys)
        : platform { values }
        , operations { this->platform.tables(), this->platform.objects(), this->platform.random(), std::move(keys),
            values.text("operator") }
    {
    }

    Platform platform;
    bundle::Operations operations;
};

std::unique_ptr<Session> openSession(const settings::Values& values)
{
    bundle::Error reason;
    auto keys = bundle::parseTrustedKeys(values.text("owner-keys"), reason);
    if (!keys || keys->empty()) {
        std::cerr << "setting owner-keys: " << (keys ? "no key is given" : reason.detail) << "\n";
        return nullptr;
    }
    return std::make_unique<Session>(values, std::move(*keys));
}

base::BundleVersion versionOf(const settings::Values& values, const std::string& name = "version")
{
    return base::BundleVersion { static_cast<std::uint64_t>(values.integer(name)) };
}

using VersionOperation = std::function<void(bundle::Operations&, bundle::Operations::RecordCallback)>;

/** Runs an operation that returns a version, and prints that version. */
int runVersionOperation(const settings::Values& values, const VersionOperation& operation)
{
    const auto session = openSession(values);
    if (!session)
        return settings::exitUsageError;
    const auto [record, error] = session->platform.wait<VersionRecord, bundle::Error>(
        [&](bundle::Operations::RecordCallback callback) { operation(session->operations, std::move(callback)); });
    if (!record)
        return printError(error);
    print({ *record }, wantsJson(values));
    return settings::exitSuccess;
}

int check(const settings::Values& values)
{
    const auto parsed = readBundle(values.text("file"));
    if (!parsed)
        return settings::exitUsageError;
    std::cout << "valid: content " << bundle::contentHash(*parsed) << ", " << parsed->targets.size() << " targets, "
              << parsed->teams.size() << " teams\n";
    return settings::exitSuccess;
}

int propose(const settings::Values& values)
{
    const auto parsed = readBundle(values.text("file"));
    if (!parsed)
        return settings::exitUsageError;
    const auto base = versionOf(values, "base");
    return runVersionOperation(
        values, [&](bundle::Operations& operations, bundle::Operations::RecordCallback callback) {
            operations.propose(*parsed, base, std::move(callback));
        });
}

int sign(const settings::Values& values)
{
    bundle::Error reason;
    const auto key = bundle::readKeyFile(values.text("key-file"), reason);
    if (!key) {
        std::cerr << "setting key-file: " << reason.detail << "\n";
        return settings::exitUsageError;
    }
    return runVersionOperation(
        values, [&](bundle::Operations& operations, bundle::Operations::RecordCallback callback) {
            operations.sign(versionOf(values), values.text("owner"), *key, std::move(callback));
        });
}

int roll(const settings::Values& values)
{
    return runVersionOperation(
        values, [&](bundle::Operations& operations, bundle::Operations::RecordCallback callback) {
            operations.roll(versionOf(values), std::move(callback));
        });
}

int withdraw(const settings::Values& values)
{
    return runVersionOperation(
        values, [&](bundle::Operations& operations, bundle::Operations::RecordCallback callback) {
            operations.withdraw(versionOf(values), std::move(callback));
        });
}

int list(const settings::Values& values)
{
    const auto session = openSession(values);
    if (!session)
        return settings::exitUsageError;
    const auto [records, error] = session->platform.wait<std::vector<VersionRecord>, bundle::Error>(
        [&](bundle::Operations::ListCallback callback) {
            session->operations.list(static_cast<std::size_t>(values.integer("limit")), std::move(callback));
        });
    if (!records)
        return printError(error);
    print(*records, wantsJson(values));
    return settings::exitSuccess;
}

std::optional<bundle::Bundle> load(Session& session, base::BundleVersion version, bundle::Error& reason)
{
    auto [content, error] = session.platform.wait<bundle::Bundle, bundle::Error>(
        [&](bundle::Operations::BundleCallback callback) { session.operations.load(version, std::move(callback)); });
    reason = error;
    return std::move(content);
}

int showBundle(const settings::Values& values)
{
    const auto session = openSession(values);
    if (!session)
        return settings::exitUsageError;
    bundle::Error reason;
    const auto content = load(*session, versionOf(values), reason);
    if (!content)
        return printError(reason);
    std::cout << bundle::toToml(*content);
    return settings::exitSuccess;
}

void printDelta(const bundle::Delta& delta)
{
    for (const auto& [part, change] : delta.parts) {
        for (const auto& key : change.removed)
            std::cout << "- " << part << " " << key << "\n";
        for (const auto& [key, record] : change.set)
            std::cout << "+ " << part << " " << key << " " << record << "\n";
    }
}

int diff(const settings::Values& values)
{
    const auto session = openSession(values);
    if (!session)
        return settings::exitUsageError;
    bundle::Error reason;
    const auto from = load(*session, versionOf(values, "from"), reason);
    if (!from)
        return printError(reason);
    const auto to = load(*session, versionOf(values, "to"), reason);
    if (!to)
        return printError(reason);
    printDelta(bundle::difference(bundle::encode(*from), bundle::encode(*to)));
    return settings::exitSuccess;
}

} // namespace

std::vector<Command> bundleCommands()
{
    const settings::Setting base { "base", "Version that this one was edited from; 0 for the first",
        ValueType::integer(0, 1'000'000'000), "0" };
    const settings::Setting owner { "owner", "Owner that signs the version", ValueType::text(), std::nullopt };
    const settings::Setting keyFile { "key-file", "Private key of the owner", ValueType::text(), std::nullopt };
    const settings::Setting limit { "limit", "Versions to show", ValueType::integer(1, 10'000), "20" };
    return {
        { "bundle check", "reports all errors of a bundle file at once", { fileSetting() }, &check },
        { "bundle propose", "stores a bundle file as a new version", withPlatform({ fileSetting(), base }), &propose },
        { "bundle sign", "adds an owner's signature to a version", withPlatform({ versionSetting(), owner, keyFile }),
            &sign },
        { "bundle roll", "puts a completely signed version into force everywhere", withPlatform({ versionSetting() }),
            &roll },
        { "bundle withdraw", "withdraws a version; for the version in force, proposes the previous content",
            withPlatform({ versionSetting() }), &withdraw },
        { "bundle list", "lists the newest versions", withPlatform({ limit }), &list },
        { "bundle show", "prints the content of a version as TOML", withPlatform({ versionSetting() }), &showBundle },
        { "bundle diff", "prints the records that differ between two versions",
            withPlatform({ versionSetting("from", "Older version"), versionSetting("to", "Newer version") }), &diff },
    };
}

} // namespace chivewinch::ctl
