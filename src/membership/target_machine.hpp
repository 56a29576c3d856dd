#pragma once

#include "membership/target_state.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace chivewinch::membership::internal {

struct Serving { }; ///< A new message shows that the target accepts work.
struct NotReady { }; ///< A new message shows that the target runs but is not ready.
struct Silence { };
struct LongSilence { };
struct LeaveNotice { };

/**
 * State machine of one incarnation. Departed is the state of a gone target that sent a leave notice; it has no
 * outgoing transition.
 */
struct TargetMachineDefinition : boost::msm::front::state_machine_def<TargetMachineDefinition> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct Joining : boost::msm::front::state<> { };
    struct Live : boost::msm::front::state<> { };
    struct Suspect : boost::msm::front::state<> { };
    struct Leaving : boost::msm::front::state<> { };
    struct Gone : boost::msm::front::state<> { };
    struct Departed : boost::msm::front::state<> { };
    using initial_state = Joining;

    template <typename From, typename Event, typename To> using Move = boost::msm::front::Row<From, Event, To>;

    // NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by MSM.
    struct transition_table
        : boost::mpl::vector<Move<Joining, Serving, Live>, Move<Joining, LongSilence, Gone>,
              Move<Joining, LeaveNotice, Leaving>, Move<Live, NotReady, Joining>, Move<Live, Silence, Suspect>,
              Move<Live, LeaveNotice, Leaving>, Move<Suspect, Serving, Live>, Move<Suspect, NotReady, Joining>,
              Move<Suspect, LongSilence, Gone>, Move<Suspect, LeaveNotice, Leaving>, Move<Gone, Serving, Live>,
              Move<Gone, NotReady, Joining>, Move<Gone, LeaveNotice, Departed>, Move<Leaving, LongSilence, Departed>> {
    };

    /** Events that do not apply to the current state are expected and change nothing. */
    template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) noexcept { }
};

/** State of one incarnation of a target. */
class TargetMachine {
public:
    TargetMachine() { this->machine.start(); }

    template <typename Event> void process(const Event& event) { this->machine.process_event(event); }

    [[nodiscard]] TargetState state() const noexcept { return publicStates[this->index()]; }
    /** True once a leave notice was processed; stays true for this incarnation. */
    [[nodiscard]] bool hasLeft() const noexcept { return leftStates[this->index()]; }

private:
    using Machine = boost::msm::back::state_machine<TargetMachineDefinition>;

    // MSM numbers the states in the order of their first appearance as a source in the transition table.
    static constexpr std::array publicStates { TargetState::Joining, TargetState::Live, TargetState::Suspect,
        TargetState::Gone, TargetState::Leaving, TargetState::Gone };
    static constexpr std::array leftStates { false, false, false, false, true, true };

    Machine machine;

    [[nodiscard]] std::size_t index() const noexcept
    {
        return static_cast<std::size_t>(this->machine.current_state()[0]);
    }
};

} // namespace chivewinch::membership::internal
