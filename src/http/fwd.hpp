#pragma once

namespace chivewinch::http {

class Client;
class ResponseStream;
class ResponseWriter;
class Server;
struct ClientOptions;
struct Error;
struct ServerOptions;

} // namespace chivewinch::http
