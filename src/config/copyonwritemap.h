#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Cardamomhill::internal
{

/// A hash map whose copies share their buckets. A change copies one of the 256 buckets, so a snapshot of a large map
/// does not cost the memory and time of a full copy.
template<class Key, class Value>
class CopyOnWriteMap
{
public:
    /// The value of a key, or null.
    const Value *find(const Key &key) const
    {
        const auto &bucket = m_buckets[indexOf(key)];
        if (!bucket) {
            return nullptr;
        }
        const auto found = bucket->find(key);
        return found == bucket->end() ? nullptr : &found->second;
    }

    void assign(const Key &key, Value value)
    {
        auto &bucket = writableBucket(indexOf(key));
        const auto sizeBefore = bucket.size();
        bucket.insert_or_assign(key, std::move(value));
        m_size += bucket.size() - sizeBefore;
    }

    void erase(const Key &key)
    {
        if (find(key) != nullptr) {
            writableBucket(indexOf(key)).erase(key);
            --m_size;
        }
    }

    std::size_t size() const
    {
        return m_size;
    }

private:
    using Bucket = std::unordered_map<Key, Value>;
    static constexpr std::size_t BucketCount = 256;

    static std::size_t indexOf(const Key &key)
    {
        // The upper bits, since the hash map of the bucket uses the lower ones.
        return (std::hash<Key>()(key) >> 32U) % BucketCount;
    }

    Bucket &writableBucket(std::size_t index)
    {
        auto &bucket = m_buckets[index];
        if (!bucket) {
            bucket = std::make_shared<Bucket>();
        } else if (bucket.use_count() > 1) {
            bucket = std::make_shared<Bucket>(*bucket);
        }
        return *bucket;
    }

    std::array<std::shared_ptr<Bucket>, BucketCount> m_buckets;
    std::size_t m_size = 0;
};

} // namespace Cardamomhill::internal
