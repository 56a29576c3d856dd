#pragma once

namespace chivewinch::store {

class Client;
class MemoryObjectStore;
class MemoryTableService;
class ObjectStore;
class Scheduler;
class TableService;
struct ClientOptions;
struct ClientStats;
struct Error;
struct Row;
struct RowKey;
struct Transaction;

} // namespace chivewinch::store
