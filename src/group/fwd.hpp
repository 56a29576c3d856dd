#pragma once

namespace chivewinch::group {

class CountWindow;
class GroupAgent;
class GroupPort;
struct Member;
struct MemberReport;

} // namespace chivewinch::group
