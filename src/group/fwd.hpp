#pragma once

namespace chivewinch::group {

class CountGrowth;
class GroupAgent;
class GroupPort;
class MapCache;
class Popularity;
class RankAccess;
struct Member;
struct MapUpdate;
struct MemberReport;
struct RankAnswers;
struct RankQuery;

} // namespace chivewinch::group
