// Tests of the operator's [rollout] section, and of the overlay of rolled-out sections on the operator's
// file.
#include "rollout/settings.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "admin/call.hpp"
#include "files.hpp"
#include "operator_config/options.hpp"
#include "operator_config/overlay.hpp"

using slatejunction::operator_config::Options;
namespace operator_config = slatejunction::operator_config;
namespace rollout = slatejunction::rollout;

namespace {

using Errors = std::vector<std::string>;

Errors errors_of(const std::string& text, Options& options) {
    Errors errors = operator_config::load_text("FILE", text, options);
    for (std::string& error : errors)
        if (error.starts_with("FILE: ")) error.erase(0, 6);
    return errors;
}

const std::string kState = "[state]\ndirectory = /nowhere\n";

}   // namespace

TEST_CASE("the rollout section is off without from and listen, and each error is one line", "[rollout]") {
    Options options;
    CHECK(errors_of("[rollout]\nregion = r1\ncanaries = 3\n", options).empty());
    CHECK_FALSE(options.rollout.on());
    CHECK(errors_of(
              kState + "[rollout]\nkey_file = k\nregion = r1\nfrom = c0=10.0.0.1:1 r1\n  c1=10.0.0.2:1\n",
              options)
              .empty());
    CHECK(options.rollout.follows());
    CHECK_FALSE(options.rollout.is_control_machine());
    const auto parents = rollout::parents_of(options.rollout);
    REQUIRE(parents.size() == 2);
    CHECK(parents[0].parent == rollout::Parent{"c0", "r1"});
    CHECK(parents[0].address == "10.0.0.1:1");
    CHECK(parents[1].parent == rollout::Parent{"c1", ""});
    CHECK(errors_of("[rollout]\nkey_file = k\nfrom = c0=10.0.0.1:1\n", options) ==
          Errors{"[rollout] from: wants [state] directory, where what is in force outlives the process"});
    CHECK(errors_of(kState + "[rollout]\nfrom = c0=10.0.0.1:1\n", options) ==
          Errors{"[rollout] key_file: is wanted, here or in [peers]: what nodes say is authenticated"});
    CHECK(errors_of(kState + "[rollout]\nkey_file = k\nlisten = 10.0.0.1:1\n", options) ==
          Errors{"[rollout] listen: wants [lease] voters, which are the control machines; or `from`, for a "
                 "relay"});
    CHECK(errors_of("[rollout]\nlisten = here\n", options) ==
          Errors{"[rollout] listen: 'here' is not ADDRESS:PORT"});
    CHECK(errors_of("[rollout]\nfrom = c0\n", options) ==
          Errors{"[rollout] from: 'c0' is not NAME=ADDRESS:PORT or NAME=ADDRESS:PORT REGION"});
    CHECK(errors_of("[rollout]\nfrom = c0=1.2.3.4:5\n  c0=1.2.3.4:6\n", options) ==
          Errors{"[rollout] from: 'c0' is listed twice"});
    CHECK(errors_of("[rollout]\ncanaries = 9\n", options) ==
          Errors{"[rollout] canaries: not from 1 to 8: 9"});
    CHECK(errors_of("[rollout]\ncanary_s = 5\n", options) ==
          Errors{"[rollout] canary_s: not from 0 to 4: 5"});
    CHECK(errors_of("[rollout]\nbytes = 5\n", options) == Errors{"[rollout] bytes: unknown key"});
    CHECK(errors_of("[rollout]\nregion = a b\n", options) ==
          Errors{"[rollout] region: 'a b' is not a region: expected 1 to 64 printable characters "
                 "without spaces, '\"', '\\' or '='"});
}

TEST_CASE("the stated bounds follow the times of the section", "[rollout]") {
    rollout::Options options;
    options.listen = "10.0.0.1:1";
    const auto lines = rollout::stated_bounds(options, {}, 5, 0.1);
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].find("within 7.2 s") != std::string::npos);
    CHECK(lines[1].find("at most 50 changes a second") != std::string::npos);
    options.canary_s = 4;
    CHECK(rollout::stated_bounds(options, {}, 5, 0.1)[0].find("within 10.2 s") != std::string::npos);
}

TEST_CASE("a rolled-out section is validated by itself", "[rollout]") {
    using operator_config::fault_of_section;
    CHECK(fault_of_section("limit a", "key = request.customer\nrate = 5\n") == "");
    CHECK(fault_of_section("route a", "when = request.method == \"GET\"\n  && true\nsubset = s") == "");
    CHECK(fault_of_section("limit a", "key = request.customer\nrate = fast\n") ==
          "[limit a] rate: not a number: 'fast'");
    CHECK(fault_of_section("limit a", "") == "[limit a]: names no key");
    CHECK(fault_of_section("limit a b", "rate = 1\nkey = true\n") ==
          "[limit a b]: a name is of 1 to 40 letters, digits, '_' and '-'");
    // Sections of other kinds are rejected, also when they are hidden in a header or in lines.
    CHECK(fault_of_section("peers", "listen = 1.2.3.4:5\n") ==
          "[peers]: only subset, route, limit and tag sections are rolled out");
    CHECK(fault_of_section("limit a]\n[peers", "x = 1") != "");
    CHECK(fault_of_section("limit a", "rate = 1\n[peers]\nlisten = 1.2.3.4:5\n") ==
          "[limit a]: holds another section's header");
    CHECK(fault_of_section("limit a", "[peers]\nlisten = 1.2.3.4:5\n") ==
          "[limit a]: holds another section's header");
    CHECK(fault_of_section("limit a", "rate = 1\n\r[peers]\n") == "[limit a]: a control character");
    CHECK(fault_of_section("limit a", "rate = 1\n [peers]\nlisten = 1.2.3.4:5\n") != "");
}

TEST_CASE("sections of an overlay replace those of the file, and an empty overlay changes nothing",
          "[rollout]") {
    const std::string own =
        "[log]\nformat = json\n[limit a]\nkey = request.customer\nrate = 1\n# of a\n[tag t]\nvalue = "
        "\"x\"\n";
    CHECK(operator_config::apply_overlay(own, {}) == own);
    const std::string overlaid = operator_config::apply_overlay(
        own, {{"limit a", "key = request.customer\nrate = 7"}, {"limit b", "key = true\nrate = 2\n"}});
    CHECK(overlaid ==
          "[log]\nformat = json\n[tag t]\nvalue = \"x\"\n[limit a]\nkey = request.customer\nrate = "
          "7\n[limit b]\nkey = true\nrate = 2\n");
    Options options;
    REQUIRE(errors_of(overlaid, options).empty());
    REQUIRE(options.rules.limits.size() == 2);
    CHECK(options.rules.limits[0].rate == 7);
    // The last line of a file may lack its line end.
    CHECK(operator_config::apply_overlay("[log]\nformat = json", {{"limit b", "rate = 2"}}) ==
          "[log]\nformat = json\n[limit b]\nrate = 2\n");
    // The resulting file is validated as a whole: here a route names a subset that does not exist.
    REQUIRE(
        errors_of(operator_config::apply_overlay(own, {{"route r", "when = true\nsubset = s"}}), options)
            .size() == 1);
}

TEST_CASE("admin calls of the rollout are parsed", "[rollout]") {
    using slatejunction::admin::read_call;
    using Kind = slatejunction::admin::AdminCall::Kind;
    CHECK(read_call("GET", "/v1/rollout").kind == Kind::rollout);
    CHECK(read_call("HEAD", "/v1/rollout").omit_body);
    CHECK(read_call("POST", "/v1/rollout").error_status == 405);
    const auto proposed = read_call("POST", "/v1/rollout/limit%20a?x=1");
    CHECK(proposed.kind == Kind::propose);
    CHECK(proposed.error_status == 0);
    CHECK(proposed.id == "limit a");
    CHECK(read_call("DELETE", "/v1/rollout/limit%20a").kind == Kind::erase);
    CHECK(read_call("GET", "/v1/rollout/limit%20a").error_status == 405);
    CHECK(read_call("GET", "/v1/rollout/limit%20a").allow == "POST, DELETE");
    CHECK(read_call("POST", "/v1/rollout/").error_status == 404);
    CHECK(read_call("POST", "/v1/rollout/a/b").error_status == 404);
    CHECK(read_call("POST", "/v1/rollout/limit%2").error_status == 400);
    CHECK(read_call("POST", "/v1/rollout/" + std::string(2000, 'a')).error_status == 400);
}
