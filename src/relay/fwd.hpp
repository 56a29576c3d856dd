#pragma once

namespace chivewinch::relay {

class PeerList;
class Relay;
class RelayedTable;
class TableCopy;
struct ContactAnswer;
struct CopyPosition;
struct Peer;
struct RelayAnswer;
struct RelayOptions;
struct RelayQuery;
struct TableQuery;
struct TableUpdate;

} // namespace chivewinch::relay
