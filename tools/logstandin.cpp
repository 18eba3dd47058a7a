// The program logstandin: a stand-in for the platform's log service, for system tests and the demo.
// Flags set some of the faults at its start; PUT /faults changes them. It prints the address that
// it listens on and ends with SIGINT or SIGTERM.

#include "logstandinserver.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string address;
    cactuscove::LogFaults faults;
    options::options_description description("Log service stand-in");
    description.add_options()("help", "print this text")(
        "listen", options::value(&address)->default_value("127.0.0.1:7700"), "ip:port")(
        "retain", options::value(&faults.retain)->default_value(faults.retain),
        "records kept in each stream")("append-delay-ms",
                                       options::value(&faults.appendDelayMs)->default_value(0),
                                       "time in ms until an append takes effect");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error &ec) {
        std::cerr << "logstandin: " << ec.what() << '\n';
        return 2;
    }

    cactuscove::EventLoop loop;
    auto server = cactuscove::LogStandinServer::listen(loop, address);
    if (!cactuscove::isOk(server)) {
        std::cerr << "logstandin: " << cactuscove::errorOf(server).reason << '\n';
        return 1;
    }
    cactuscove::valueOf(server)->faults() = faults;
    std::cout << "listening on " << cactuscove::valueOf(server)->address() << std::endl;
    for (const int signal : {SIGINT, SIGTERM})
        loop.onSignal(signal, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
