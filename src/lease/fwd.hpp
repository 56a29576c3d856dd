#pragma once

namespace chivewinch::lease {

class FencingGuard;
class Lease;
struct LeaseOptions;

} // namespace chivewinch::lease
