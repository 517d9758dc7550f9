// Every example of an operator's file in docs/ and the README is one that check-config takes.
//
// An example is a block indented by four spaces whose first line names a section. What an example needs
// from its machine (a key file, a state directory) is put in a folder of the test in place of the path it
// names.
#include <filesystem>
#include <map>
#include <regex>

#include "files.hpp"
#include "process.hpp"

namespace {

struct Example {
    std::string page;
    std::string text;
};

// Pages on which each further example is added to the file that the ones before it make.
const std::vector<std::string> kContinuedPages{"fleet.md"};

std::vector<Example> examples_of(const std::filesystem::path& page) {
    std::vector<Example> examples;
    std::ifstream in(page);
    std::string line, block;
    const auto finish_block = [&] {
        if (block.starts_with("[")) examples.push_back({page.filename(), block});
        block.clear();
    };
    while (std::getline(in, line)) {
        if (line.starts_with("    "))
            block += line.substr(4) + "\n";
        else if (line.empty() && !block.empty())
            block += "\n";
        else
            finish_block();
    }
    finish_block();
    return examples;
}

std::vector<Example> all_examples() {
    std::vector<std::filesystem::path> pages{DOCUMENTS "/README.md"};
    for (const auto& entry : std::filesystem::directory_iterator(DOCUMENTS "/docs"))
        if (entry.path().extension() == ".md") pages.push_back(entry.path());
    std::vector<Example> all;
    for (const auto& page : pages) {
        std::string file;
        const bool continued = std::find(kContinuedPages.begin(), kContinuedPages.end(), page.filename()) !=
                               kContinuedPages.end();
        for (Example& example : examples_of(page)) {
            if (continued) example.text = file += example.text;
            all.push_back(std::move(example));
        }
    }
    return all;
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

// The name of the member whose address the example's [peers] section listens on; else `otherwise`.
std::string name_in(const std::string& text, const std::string& otherwise) {
    std::smatch listen;
    if (!std::regex_search(text, listen, std::regex("listen = ([0-9.]+:[0-9]+)"))) return otherwise;
    std::smatch member;
    const std::regex named("(\\w+)=" + listen[1].str() + "\\b");
    return std::regex_search(text, member, named) ? member[1].str() : otherwise;
}

}   // namespace

TEST_CASE("check-config takes every example of an operator's file in the documentation", "[start]") {
    const Folder folder;
    const std::string key = folder.write("key", std::string(64, 'a'));
    std::filesystem::permissions(key, std::filesystem::perms::owner_read);
    const std::string config = folder.write("config.json", [] {
        std::ifstream in(EXCHANGES "/config.json");
        std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        replace_all(text, "$PROVIDER", "127.0.0.1:1");
        return text;
    }());
    const std::vector<Example> examples = all_examples();
    REQUIRE(examples.size() >= 6);
    for (std::size_t i = 0; i < examples.size(); ++i) {
        std::string text = examples[i].text;
        const std::string state = folder.file("state" + std::to_string(i));
        std::filesystem::create_directory(state);
        replace_all(text, "/etc/slatejunction/key", key);
        replace_all(text, "/var/lib/slatejunction", state);
        const std::string name = std::to_string(i);
        const std::string file = folder.write("example" + name, text);
        Process check({"/usr/bin/env", "NODE_NAME=" + name_in(text, "n0"), PROGRAM, "check-config",
                       "--config", config, "--operator", file},
                      folder.file("out" + name), folder.file("err" + name));
        const int status = check.wait();
        INFO(examples[i].page << ":\n" << text << "\n" << folder.read("err" + name));
        CHECK(status == 0);
    }
}
