#pragma once

namespace chivewinch::store_http {

class AsioScheduler;
class HttpObjectStore;
class HttpTableService;

} // namespace chivewinch::store_http
