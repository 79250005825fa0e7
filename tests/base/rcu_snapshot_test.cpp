#include "src/base/rcu_snapshot.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <thread>
#include <vector>

namespace sequoiawharf
{

namespace
{

// Two numbers that a writer always changes together.
struct number_pair {
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

class rcu_snapshot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rcu_snapshot_test);
    CPPUNIT_TEST(readersSeeConsistentIncreasingValues);
    CPPUNIT_TEST(valueOutlivesItsReplacement);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against torn, freed or outdated values loaded by readers while a writer replaces them.
    void readersSeeConsistentIncreasingValues()
    {
        constexpr std::uint64_t kWrites = 200;
        constexpr unsigned kReaders = 4;
        rcu_snapshot<number_pair> snapshot(std::make_shared<const number_pair>());
        std::atomic<unsigned> faults {0};
        std::vector<std::thread> readers;
        std::generate_n(std::back_inserter(readers), kReaders, [&] {
            return std::thread([&] {
                const rcu_reader_thread registration;
                std::uint64_t newest = 0;
                while (newest < kWrites) {
                    const auto loaded = snapshot.load();
                    const bool isConsistent = loaded->first == loaded->second && loaded->first >= newest;
                    faults += isConsistent ? 0 : 1;
                    newest = loaded->first;
                }
            });
        });
        for (std::uint64_t i = 1; i <= kWrites; ++i) {
            snapshot.store(std::make_shared<const number_pair>(number_pair {i, i}));
        }
        std::ranges::for_each(readers, &std::thread::join);
        CPPUNIT_ASSERT_EQUAL(0U, faults.load());
    }

    void valueOutlivesItsReplacement()
    {
        const rcu_reader_thread registration;
        rcu_snapshot<number_pair> snapshot(std::make_shared<const number_pair>(number_pair {7, 7}));
        const auto held = snapshot.load();
        snapshot.store(std::make_shared<const number_pair>(number_pair {8, 8}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {7}, held->first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {8}, snapshot.load()->first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rcu_snapshot_test);

} // namespace

} // namespace sequoiawharf
