// A folder of one test, taken away with it.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

class Folder {
  public:
    Folder() {
        char path[] = "/tmp/slatejunction-test-XXXXXX";
        path_ = ::mkdtemp(path);
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string file(const std::string& name) const { return path_ + "/" + name; }
    const std::string& path() const { return path_; }
    std::string write(const std::string& name, const std::string& bytes) const {
        std::ofstream(file(name), std::ios::binary | std::ios::trunc) << bytes;
        return file(name);
    }
    std::string read(const std::string& name) const {
        std::ifstream in(file(name), std::ios::binary);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    }

  private:
    std::string path_;
};
