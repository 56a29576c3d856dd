#pragma once

namespace chivewinch::wire {

class AnswerFrame;
class AttemptReply;
class AttemptStart;
class Control;
class FinalFrame;
class FrameReader;
class Refusal;

} // namespace chivewinch::wire
