// The operator's file: every fault is told with file, section and key, and nothing of a bad file is taken.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "files.hpp"
#include "operator_config/options.hpp"

using slatejunction::operator_config::Options;

namespace {

std::vector<std::string> load(const Folder& folder, const std::string& text, Options& options) {
    auto faults = slatejunction::operator_config::load(folder.write("o.ini", text), options);
    for (std::string& fault : faults)
        if (const std::string prefix = folder.file("o.ini") + ": "; fault.starts_with(prefix))
            fault.erase(0, prefix.size());
    return faults;
}

}   // namespace

TEST_CASE("the shipped operator's file is the sample, and taken whole with every key set") {
    const Folder folder;
    std::ifstream in(SOURCE "/deploy/operator.ini");
    const std::string shipped((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    CHECK(shipped == slatejunction::operator_config::sample());
    // With the comment signs before the keys gone, each default must be a value that is taken.
    std::string all;
    std::istringstream lines(shipped);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t mark = line.find(" = ");
        const bool key = line.starts_with("# ") && mark != std::string::npos &&
                         line.substr(2, mark - 2).find(' ') == std::string::npos;
        all += (key ? line.substr(2) : line.starts_with("#") ? "" : line) + "\n";
    }
    Options options;
    CHECK(load(folder, all, options) == std::vector<std::string>{});
    CHECK(options.remote_write == Options().remote_write);
}

TEST_CASE("each fault of an operator's file is one line that names section and key") {
    const Folder folder;
    Options options;
    using Faults = std::vector<std::string>;
    CHECK(load(folder, "[log]\nformat = xml\nlevle = info\n[nowhere]\na = 1\nb = 2\n", options) ==
          Faults{"[log] format: 'xml' is none of text | json", "[log] levle: unknown key",
                 "[nowhere]: unknown section"});
    CHECK(load(folder, "[log]\nbuffer_kb = 8\nbuffer_kb = 9\n", options) ==
          Faults{"[log] buffer_kb: given twice"});
    CHECK(load(folder, "[log]\nbuffer_kb = 3\n", options) ==
          Faults{"[log] buffer_kb: not from 4 to 4096: 3"});
    CHECK(load(folder, "[log]\nbuffer_kb = many\n", options) ==
          Faults{"[log] buffer_kb: not a whole number: 'many'"});
    CHECK(load(folder, "[remote_write]\ninterval_s = inf\n", options) ==
          Faults{"[remote_write] interval_s: not a number: 'inf'"});
    CHECK(load(folder, "[remote_write]\nurl = https://10.0.0.1:9090/api\n", options) ==
          Faults{"[remote_write] url: https is not supported; use http to a proxy on this machine"});
    CHECK(load(folder, "[remote_write]\nurl = http://metrics.example.org/api\n", options).size() == 1);
    CHECK(load(folder, "[remote_write]\nlabels = zone=a, zone=b\n", options) ==
          Faults{"[remote_write] labels: 'zone' twice"});
    CHECK(load(folder, "[remote_write]\nlabels = __name__=a\n", options) ==
          Faults{"[remote_write] labels: '__name__' is reserved for the receiver"});
    CHECK(load(folder, "[remote_write]\nlabels = 1a=b\n", options) ==
          Faults{"[remote_write] labels: '1a' is not a valid label name"});
    CHECK(load(folder, "[remote_write]\nbearer_file = " + folder.file("none") + "\n", options).size() == 1);
    CHECK(load(folder, "[state]\ndirectory = /a\n[remote_write]\nbacklog_directory = /a\n", options) ==
          Faults{"[remote_write] backlog_directory: is [state] directory too; each has its own"});
    CHECK(load(folder, "no section\n", options).size() == 1);
    CHECK(load(folder, "[log]\nformat = json\n level = info\n", options) ==
          Faults{"[log] format: does not go over several lines"});
    CHECK(load(folder, "# " + std::string(200, 'x') + "\n", options) == Faults{"line 1: over 190 bytes"});
    CHECK(slatejunction::operator_config::load(folder.file("absent"), options).size() == 1);
    CHECK(options.log.format == 0);
}

TEST_CASE("a file with one fault changes nothing") {
    const Folder folder;
    Options options;
    REQUIRE(load(folder, "[log]\nformat = json\n", options).empty());
    REQUIRE(load(folder, "[log]\nformat = text\n[remote_write]\ninterval_s = -1\n", options).size() == 1);
    CHECK(options.log.line_format() == slatejunction::logging::Format::json);
}

TEST_CASE("credentials come from a file's first line") {
    const Folder folder;
    slatejunction::remotewrite::Settings settings;
    std::string why;
    settings.bearer_file = folder.write("token", "abc\nignored\n");
    CHECK(slatejunction::remotewrite::authorization(settings, why) == "Bearer abc");
    settings.bearer_file.clear();
    settings.basic_file = folder.write("basic", "Aladdin:open sesame\n");
    CHECK(slatejunction::remotewrite::authorization(settings, why) == "Basic QWxhZGRpbjpvcGVuIHNlc2FtZQ==");
    CHECK(why.empty());
    settings.basic_file = folder.write("broken", "nobody\n");
    CHECK(slatejunction::remotewrite::authorization(settings, why).empty());
    CHECK_FALSE(why.empty());
}
