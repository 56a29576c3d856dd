#pragma once

namespace chivewinch::settings {

class Definition;
class ValueType;
class Values;
struct Endpoint;
struct Error;
struct Setting;

} // namespace chivewinch::settings
