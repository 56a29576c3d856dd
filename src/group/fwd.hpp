#pragma once

namespace chivewinch::group {

class CountGrowth;
class GroupAgent;
class GroupPort;
class Popularity;
class RankAccess;
struct Member;
struct MemberReport;
struct RankAnswers;
struct RankQuery;

} // namespace chivewinch::group
