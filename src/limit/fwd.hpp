#pragma once

namespace chivewinch::limit {

class LoadShedder;
class TeamLimiter;
struct Decision;
struct LimiterOptions;
struct ShedderOptions;
struct TeamLimit;

} // namespace chivewinch::limit
