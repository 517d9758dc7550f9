// The adapter, by written transcripts, well formed and not.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace {

struct Transcript {
    std::string out, err;
    int status = 0;
};

std::string slurp(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

Transcript run(const std::string& input) {
    char folder[] = "/tmp/slatejunction-XXXXXX";
    if (!mkdtemp(folder)) return {"", "", -1};
    const std::string at = folder;
    std::ofstream(at + "/in") << input;
    const std::string command =
        std::string(SIMULATOR_ADAPTER_PATH) + " <" + at + "/in >" + at + "/out 2>" + at + "/err";
    Transcript r;
    r.status = WEXITSTATUS(std::system(command.c_str()));
    r.out = slurp(at + "/out");
    r.err = slurp(at + "/err");
    for (const char* name : {"/in", "/out", "/err"}) std::remove((at + name).c_str());
    std::remove(folder);
    return r;
}

std::size_t count(const std::string& text, const std::string& what) {
    std::size_t n = 0;
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
    return n;
}

const std::string kBegin =
    "BATCH\t10\nBEGIN\t0\t12345\tBalancers=1\tLimits.AttemptsCap=2\tSome.NewKey=x_y\tServices.count=1\t"
    "Services.0.Name=read\tServices.0.AimS=1\tServices.0.DeadlineS=2\tServices.0.Effect=pure\n"
    "DIRECTORY_UPDATE\t0\twarm_copy\t1\t1\nM\tIN\t10.0.0.1:80\tstd\tz\t1\t0\t-\nOVER_TO_YOU\n";
const std::string kCall = "CALL\t0\tc:one\tread\tplan\t1\t0\t77\t12\t0\t1\n";

TEST(SimulatorWire, AnEmptyBatchGetsAnEmptyReplyAndEndOfInputEndsWell) {
    const Transcript r = run("BATCH\t8.41225\nOVER_TO_YOU\n");
    EXPECT_EQ(r.out, "END\n");
    EXPECT_EQ(r.err, "");
    EXPECT_EQ(r.status, 0);
}

TEST(SimulatorWire, ARequestIsDispatchedAndItsResultHandled) {
    const Transcript r = run(kBegin + "BATCH\t10.5\n" + kCall + "OVER_TO_YOU\n" +
                             "BATCH\t10.6\nATTEMPT_END\t0\tc:one\t0\t10.0.0.1:80\t0\t0.1\t1\t86\t0\t7,1.5\n"
                             "OVER_TO_YOU\n");
    EXPECT_EQ(count(r.out, "DISPATCH\t0\tc:one\t10.0.0.1:80\t"), 1u);
    EXPECT_EQ(count(r.out, "END\n"), 3u);
    EXPECT_EQ(r.err, "");
}

TEST(SimulatorWire, BadLinesGetOneMessageEachAndNoAction) {
    for (const std::string bad :
         {"NONSENSE\t0", "CALL\t0\tc:two\tread", "CALL\t0\tc:two\tread\tplan\tmany\t0\t77\t12\t0\t1",
          "CALL\t9\tc:two\tread\tplan\t1\t0\t77\t12\t0\t1",
          "CALL\t0\tc:two\tread\tplan\t1\t0\t-5\t12\t0\t1", "ATTEMPT_END\t0\tc:one\t0\ts\t9\t0.1\t1",
          "M\tIN\tx:1\tstd\tz\t1\t0\t-", "TICK_DUE\t0\tsoon", "BATCH\tnan", "SHUTDOWN\t4", "CALL"}) {
        const Transcript r = run(kBegin + "BATCH\t10.5\n" + bad + "\n" + kCall + "OVER_TO_YOU\n");
        EXPECT_EQ(count(r.err, "\n"), 1u) << bad << "\n" << r.err;
        EXPECT_NE(r.err.find("line 7: "), std::string::npos) << bad << "\n" << r.err;
        EXPECT_EQ(count(r.out, "c:two"), 0u) << bad;
        EXPECT_EQ(count(r.out, "DISPATCH\t0\tc:one\t"), 1u) << bad;
        EXPECT_EQ(count(r.out, "END\n"), 2u) << bad;
        EXPECT_EQ(r.status, 0);
    }
}

TEST(SimulatorWire, AMissingRequiredSettingIsNamed) {
    const Transcript r = run("BATCH\t10\nBEGIN\t0\t1\tBalancers=1\tServices.count=0\nOVER_TO_YOU\n");
    EXPECT_NE(r.err.find("Limits.AttemptsCap"), std::string::npos) << r.err;
    EXPECT_EQ(r.out, "END\n");
}

TEST(SimulatorWire, AListCutShortRemovesNoBackend) {
    const Transcript r =
        run(kBegin + "BATCH\t10.2\nDIRECTORY_UPDATE\t0\ttotal\t2\t3\nM\tIN\t10.0.0.2:80\tstd\tz\t1\n" +
            kCall + "OVER_TO_YOU\n");
    EXPECT_EQ(count(r.err, "the list ended early"), 1u) << r.err;
    EXPECT_EQ(count(r.out, "DISPATCH\t0\tc:one\t"), 1u);
}

TEST(SimulatorWire, AShutDownInstanceIsForgottenAndMayBeginAgain) {
    const Transcript r = run(kBegin + "BATCH\t11\nSHUTDOWN\t0\nOVER_TO_YOU\n" + kBegin + "BATCH\t12\n" +
                             "CALL\t0\tc:one\tread\tplan\t1\t0\t77\t14\t0\t1\nOVER_TO_YOU\n");
    EXPECT_EQ(count(r.out, "DISPATCH\t0\tc:one\t"), 1u);
    EXPECT_EQ(r.err, "");
}

}   // namespace
