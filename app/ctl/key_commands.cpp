#include "bundle/signature.hpp"
#include "ctl/command.hpp"
#include "usage/key.hpp"

#include <iostream>

namespace chivewinch::ctl {

namespace {

int newKey(const settings::Values& values)
{
    const auto key = bundle::PrivateKey::generate();
    bundle::Error reason;
    if (!bundle::writeKeyFile(values.text("file"), key, reason)) {
        std::cerr << "setting file: " << reason.detail << "\n";
        return settings::exitFailure;
    }
    std::cout << key.publicKey() << "\n";
    return settings::exitSuccess;
}

int publicKey(const settings::Values& values)
{
    bundle::Error reason;
    const auto key = bundle::readKeyFile(values.text("file"), reason);
    if (!key) {
        std::cerr << "setting file: " << reason.detail << "\n";
        return settings::exitFailure;
    }
    std::cout << key->publicKey() << "\n";
    return settings::exitSuccess;
}

int usageKey(const settings::Values& values)
{
    usage::Error reason;
    const auto key = usage::SigningKey::fromHex(values.text("seed"), reason);
    if (!key) {
        std::cerr << "setting seed: " << reason.detail << "\n";
        return settings::exitUsageError;
    }
    usage::KeyList keys;
    const auto side = values.text("side") == "entry" ? usage::Side::Entry : usage::Side::Agent;
    keys.add(values.text("instance"), side, key->publicKey());
    std::cout << keys.toJson() << "\n";
    return settings::exitSuccess;
}

} // namespace

std::vector<Command> keyCommands()
{
    const settings::Setting file { "file", "File of the private key", settings::ValueType::text(), std::nullopt };
    return {
        { "keys new", "writes a new Ed25519 key to a file and prints its public key", { file }, &newKey },
        { "keys usage", "prints the entry of a process in the list of public keys for usage verify",
            { { "seed", "Usage key of the process", settings::ValueType::text(), std::nullopt },
                { "instance", "Instance of the process", settings::ValueType::text(), std::nullopt },
                { "side", "Kind of the process", settings::ValueType::choice({ "entry", "agent" }), std::nullopt } },
            &usageKey },
        { "keys public", "prints the public key of a key file", { file }, &publicKey },
    };
}

} // namespace chivewinch::ctl
