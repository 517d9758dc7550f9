// INI files with a schema: every section and key is declared with its type, range, unit and default, and
// whatever a file says beside that is a fault that names file, section and key. Reads by the inih library.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace slatejunction::ini {

// One key: how it is shown to operators, and how its text is taken.
struct Key {
    std::string name, unit, help, standard;                     // unit empty: it has none
    std::function<std::string(const std::string& text)> take;   // empty: taken; else what is wrong with it
    bool lines = false;   // may go on over indented lines, which are joined by line ends
};

// The keys of one section. The values given stay as they are where the file does not name a key, so they
// hold the defaults. They must live as long as the section is used for reading.
class Section {
  public:
    Section(std::string name, std::string help) : name_(std::move(name)), help_(std::move(help)) {}

    void text(std::string key, std::string& value, std::string help,
              std::function<std::string(const std::string&)> check = {});
    // The same over several lines: those behind the first are indented.
    void lines(std::string key, std::string& value, std::string help);
    void integer(std::string key, std::int64_t& value, std::int64_t least, std::int64_t most,
                 std::string unit, std::string help);
    void real(std::string key, double& value, double least, double most, std::string unit,
              std::string help);
    // `value` is the index into `words`.
    void choice(std::string key, int& value, std::vector<std::string> words, std::string help);
    // NAME=VALUE, NAME=VALUE ...
    void pairs(std::string key, std::vector<std::pair<std::string, std::string>>& value, std::string help,
               std::function<std::string(const std::string& name)> check = {});
    // What holds between keys, looked at once all have been taken: empty, or "KEY: what is wrong".
    void whole(std::function<std::string()> check) { whole_ = std::move(check); }

    const std::string& name() const { return name_; }
    const std::string& help() const { return help_; }
    const std::vector<Key>& keys() const { return keys_; }
    std::string check_whole() const { return whole_ ? whole_() : std::string(); }

  private:
    std::string name_, help_;
    std::vector<Key> keys_;
    std::function<std::string()> whole_;
};

// Sections of one kind, each with a name of its own: [route NAME]. Names are of letters, digits, '_' and
// '-'.
struct Family {
    std::string kind, help;
    std::function<Section(const std::string& name)> make;   // called once for each name
};

// All faults of the file, one line each, in the file's order; empty when it was taken. Faults: unknown
// section or key, a key given twice, a value of the wrong type or out of range, a line that is none or is
// longer than 190 bytes, an indented line behind a key that has none, a file that can't be read. After a
// fault the values are not to be used.
std::vector<std::string> read(const std::string& path, const std::vector<Section*>& sections,
                              const std::vector<Family>& families = {});

// The file's bytes; false: it can't be read.
bool load(const std::string& path, std::string& text);
// The same for the file's text; `path` names it in faults.
std::vector<std::string> read_text(const std::string& path, const std::string& text,
                                   const std::vector<Section*>& sections,
                                   const std::vector<Family>& families = {});

// A file with every key, its unit and its default, commented out.
std::string sample(const std::vector<Section*>& sections, const std::vector<Family>& families = {});

}   // namespace slatejunction::ini
