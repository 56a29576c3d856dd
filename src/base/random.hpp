#pragma once

#include <cstdint>
#include <random>

namespace chivewinch::base {

/** Source of random numbers. It is passed in, so that a run can be reproduced from its seed. */
class RandomSource {
public:
    RandomSource() = default;
    RandomSource(const RandomSource&) = delete;
    RandomSource& operator=(const RandomSource&) = delete;
    virtual ~RandomSource() = default;

    /** Uniform over all 64-bit values. */
    [[nodiscard]] virtual std::uint64_t next() = 0;

    /** Uniform in [0, bound). Returns 0 for a bound of 0. */
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : static_cast<std::uint64_t>((static_cast<__uint128_t>(this->next()) * bound) >> 64);
    }

    /** Uniform in [0, 1). */
    [[nodiscard]] double unit() { return static_cast<double>(this->next() >> 11) * 0x1.0p-53; }
};

/** Mersenne twister with a known seed. */
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine { seed }
    {
    }

    [[nodiscard]] std::uint64_t next() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

/** Seed from the operating system's entropy source. */
[[nodiscard]] std::uint64_t entropySeed();

} // namespace chivewinch::base
