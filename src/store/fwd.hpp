#pragma once

namespace chivewinch::store {

class MemoryObjectStore;
class MemoryTableService;
class ObjectStore;
class Scheduler;
class TableService;
struct Error;
struct Row;
struct RowKey;
struct Transaction;

} // namespace chivewinch::store
