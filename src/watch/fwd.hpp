#pragma once

namespace chivewinch::watch {

class RowFeed;
class RowWatcher;
struct Page;
struct RowChange;
struct WatchOptions;

} // namespace chivewinch::watch
