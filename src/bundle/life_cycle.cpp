// The table below has more rows than the default limit of Boost.MPL.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_LIST_SIZE 30

#include "bundle/life_cycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <array>

namespace chivewinch::bundle {

namespace internal {

namespace msm = boost::msm;
using msm::front::Row;

/** Event that puts a new state machine into the stored state of a version. */
template <State Value> struct Restore {
};
template <Event Value> struct On {
};

struct Machine : msm::front::state_machine_def<Machine> {
    struct Start : msm::front::state<> { };
    template <State Value> struct In : msm::front::state<> {
    };

    using initial_state = Start; // NOLINT(readability-identifier-naming): required by Boost.MSM

    template <State Value> using Begin = Row<Start, Restore<Value>, In<Value>>;
    template <State From, Event Value, State To> using Step = Row<In<From>, On<Value>, In<To>>;

    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): required by Boost.MSM
    struct transition_table : boost::mpl::vector<
        Begin<State::Draft>, Begin<State::Proposed>, Begin<State::Signed>, Begin<State::Rolling>,
        Begin<State::InForce>, Begin<State::Superseded>, Begin<State::Withdrawn>,
        Step<State::Draft,    Event::Propose,        State::Proposed>,
        Step<State::Draft,    Event::Withdraw,       State::Withdrawn>,
        Step<State::Proposed, Event::SignPartly,     State::Proposed>,
        Step<State::Proposed, Event::SignCompletely, State::Signed>,
        Step<State::Proposed, Event::Withdraw,       State::Withdrawn>,
        Step<State::Signed,   Event::Roll,           State::Rolling>,
        Step<State::Signed,   Event::Withdraw,       State::Withdrawn>,
        Step<State::Rolling,  Event::Confirm,        State::InForce>,
        Step<State::Rolling,  Event::Supersede,      State::Superseded>,
        Step<State::Rolling,  Event::Withdraw,       State::Withdrawn>,
        Step<State::InForce,  Event::Supersede,      State::Superseded>,
        Step<State::InForce,  Event::Withdraw,       State::Withdrawn>
    > { };
    // clang-format on

    template <typename Machine, typename Any> void no_transition(const Any&, Machine&, int) { }
};

using StateMachine = msm::back::state_machine<Machine>;

/** Calls the function with the enumerator as a template argument. */
template <typename Enum, std::uint8_t Count, typename Function> void dispatch(Enum value, Function function)
{
    [&]<std::uint8_t... Index>(std::integer_sequence<std::uint8_t, Index...>)
    {
        ((static_cast<std::uint8_t>(value) == Index ? function.template operator()<static_cast<Enum>(Index)>()
                                                    : void()),
            ...);
    }
    (std::make_integer_sequence<std::uint8_t, Count> {});
}

constexpr std::uint8_t stateCount = 7;
constexpr std::uint8_t eventCount = 7;

constexpr std::array<std::string_view, stateCount> stateNames { "draft", "proposed", "signed", "rolling", "in_force",
    "superseded", "withdrawn" };

/** Index that Boost.MSM assigns to the state. */
int stateIndex(State state)
{
    StateMachine machine;
    machine.start();
    dispatch<State, stateCount>(state, [&]<State Value>() { (void)machine.process_event(Restore<Value> {}); });
    return machine.current_state()[0];
}

} // namespace internal

std::optional<State> next(State state, Event event)
{
    using namespace internal;
    StateMachine machine;
    machine.start();
    dispatch<State, stateCount>(state, [&]<State Value>() { (void)machine.process_event(Restore<Value> {}); });
    bool allowed = false;
    dispatch<Event, eventCount>(
        event, [&]<Event Value>() { allowed = machine.process_event(On<Value> {}) == boost::msm::back::HANDLED_TRUE; });
    if (!allowed)
        return std::nullopt;
    for (std::uint8_t index = 0; index < stateCount; ++index) {
        if (stateIndex(static_cast<State>(index)) == machine.current_state()[0])
            return static_cast<State>(index);
    }
    return std::nullopt;
}

std::string_view toString(State state) noexcept { return internal::stateNames[static_cast<std::size_t>(state)]; }

std::optional<State> parseState(std::string_view name) noexcept
{
    const auto found = std::ranges::find(internal::stateNames, name);
    if (found == internal::stateNames.end())
        return std::nullopt;
    return static_cast<State>(found - internal::stateNames.begin());
}

} // namespace chivewinch::bundle
