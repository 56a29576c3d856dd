#include "entry/heartbeat_source.hpp"

#include "protocol/convert.hpp"

namespace chivewinch::entry {

wire::Control HeartbeatSource::hello() const
{
    wire::Control message;
    auto& hello = *message.mutable_hello();
    hello.set_instance(this->options.instance);
    hello.set_zone(this->options.zone);
    hello.set_incarnation(static_cast<std::uint64_t>(this->incarnation));
    hello.set_role("entry");
    return message;
}

wire::Control HeartbeatSource::heartbeat()
{
    wire::Control message;
    auto& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_incarnation(static_cast<std::uint64_t>(this->incarnation));
    heartbeat.set_sequence(++this->sequence);
    heartbeat.set_state(this->leaving ? wire::PEER_LEAVING : wire::PEER_LIVE);
    if (const auto snapshot = this->tables.snapshot())
        heartbeat.set_bundle_version(static_cast<std::uint64_t>(snapshot->version()));
    const auto strikes = this->tables.suspects.with([](Suspects& suspects) { return suspects.strikes.report(); });
    protocol::assignStrikes(heartbeat, strikes);
    return message;
}

wire::Control HeartbeatSource::goodbye() const
{
    wire::Control message;
    message.mutable_goodbye()->set_incarnation(static_cast<std::uint64_t>(this->incarnation));
    message.mutable_goodbye()->set_reason("draining");
    return message;
}

} // namespace chivewinch::entry
