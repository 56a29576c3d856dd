#pragma once

namespace chivewinch::relay {

class PeerList;
class Relay;
class TableCopy;
struct Peer;
struct RelayAnswer;
struct RelayOptions;
struct RelayQuery;

} // namespace chivewinch::relay
