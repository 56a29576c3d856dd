#include "usage/totals.hpp"

namespace chivewinch::usage {

Totals& Totals::operator+=(const Totals& other) noexcept
{
    for (const auto& field : totalsFields)
        this->*field.member += other.*field.member;
    return *this;
}

} // namespace chivewinch::usage
