// Runs the simulator adapter with valid and malformed input, and checks its output.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace {

struct Output {
    std::string out, err;
    int status = 0;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

Output run(const std::string& input) {
    char path[] = "/tmp/slatejunction-XXXXXX";
    if (!mkdtemp(path)) return {"", "", -1};
    const std::string directory = path;
    std::ofstream(directory + "/in") << input;
    const std::string command = std::string(SIMULATOR_ADAPTER_PATH) + " <" + directory + "/in >" +
                                directory + "/out 2>" + directory + "/err";
    Output output;
    output.status = WEXITSTATUS(std::system(command.c_str()));
    output.out = read_file(directory + "/out");
    output.err = read_file(directory + "/err");
    for (const char* name : {"/in", "/out", "/err"}) std::remove((directory + name).c_str());
    std::remove(path);
    return output;
}

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t occurrences = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++occurrences;
    return occurrences;
}

const std::string kBegin =
    "BATCH\t10\nBEGIN\t0\t12345\tBalancers=1\tLimits.AttemptsCap=2\tSome.NewKey=x_y\tServices.count=1\t"
    "Services.0.Name=read\tServices.0.AimS=1\tServices.0.DeadlineS=2\tServices.0.Effect=pure\n"
    "DIRECTORY_UPDATE\t0\twarm_copy\t1\t1\nM\tIN\t10.0.0.1:80\tstd\tz\t1\t0\t-\nOVER_TO_YOU\n";
const std::string kCall = "CALL\t0\tc:one\tread\tplan\t1\t0\t77\t12\t0\t1\n";

TEST(SimulatorAdapter, AnEmptyBatchGetsAnEmptyReplyAndEndOfInputIsNoError) {
    const Output output = run("BATCH\t8.41225\nOVER_TO_YOU\n");
    EXPECT_EQ(output.out, "END\n");
    EXPECT_EQ(output.err, "");
    EXPECT_EQ(output.status, 0);
}

TEST(SimulatorAdapter, ARequestIsDispatchedAndItsResultHandled) {
    const Output output =
        run(kBegin + "BATCH\t10.5\n" + kCall + "OVER_TO_YOU\n" +
            "BATCH\t10.6\nATTEMPT_END\t0\tc:one\t0\t10.0.0.1:80\t0\t0.1\t1\t86\t0\t7,1.5\n"
            "OVER_TO_YOU\n");
    EXPECT_EQ(count(output.out, "DISPATCH\t0\tc:one\t10.0.0.1:80\t"), 1u);
    EXPECT_EQ(count(output.out, "END\n"), 3u);
    EXPECT_EQ(output.err, "");
}

TEST(SimulatorAdapter, MalformedLinesGetOneErrorMessageEachAndNoAction) {
    for (const std::string line :
         {"NONSENSE\t0", "CALL\t0\tc:two\tread", "CALL\t0\tc:two\tread\tplan\tmany\t0\t77\t12\t0\t1",
          "CALL\t9\tc:two\tread\tplan\t1\t0\t77\t12\t0\t1",
          "CALL\t0\tc:two\tread\tplan\t1\t0\t-5\t12\t0\t1", "ATTEMPT_END\t0\tc:one\t0\ts\t9\t0.1\t1",
          "M\tIN\tx:1\tstd\tz\t1\t0\t-", "TICK_DUE\t0\tsoon", "BATCH\tnan", "SHUTDOWN\t4", "CALL"}) {
        const Output output = run(kBegin + "BATCH\t10.5\n" + line + "\n" + kCall + "OVER_TO_YOU\n");
        EXPECT_EQ(count(output.err, "\n"), 1u) << line << "\n" << output.err;
        EXPECT_NE(output.err.find("line 7: "), std::string::npos) << line << "\n" << output.err;
        EXPECT_EQ(count(output.out, "c:two"), 0u) << line;
        EXPECT_EQ(count(output.out, "DISPATCH\t0\tc:one\t"), 1u) << line;
        EXPECT_EQ(count(output.out, "END\n"), 2u) << line;
        EXPECT_EQ(output.status, 0);
    }
}

TEST(SimulatorAdapter, TheErrorForAMissingRequiredSettingContainsItsName) {
    const Output output = run("BATCH\t10\nBEGIN\t0\t1\tBalancers=1\tServices.count=0\nOVER_TO_YOU\n");
    EXPECT_NE(output.err.find("Limits.AttemptsCap"), std::string::npos) << output.err;
    EXPECT_EQ(output.out, "END\n");
}

TEST(SimulatorAdapter, ATruncatedSnapshotRemovesNoBackend) {
    const Output output =
        run(kBegin + "BATCH\t10.2\nDIRECTORY_UPDATE\t0\ttotal\t2\t3\nM\tIN\t10.0.0.2:80\tstd\tz\t1\n" +
            kCall + "OVER_TO_YOU\n");
    EXPECT_EQ(count(output.err, "endpoint update ended before all of its entries arrived"), 1u)
        << output.err;
    EXPECT_EQ(count(output.out, "DISPATCH\t0\tc:one\t"), 1u);
}

TEST(SimulatorAdapter, AnInstanceMayBeginAgainAfterItsShutdown) {
    const Output output = run(kBegin + "BATCH\t11\nSHUTDOWN\t0\nOVER_TO_YOU\n" + kBegin + "BATCH\t12\n" +
                              "CALL\t0\tc:one\tread\tplan\t1\t0\t77\t14\t0\t1\nOVER_TO_YOU\n");
    EXPECT_EQ(count(output.out, "DISPATCH\t0\tc:one\t"), 1u);
    EXPECT_EQ(output.err, "");
}

}   // namespace
