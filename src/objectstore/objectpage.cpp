#include "objectstore/objectpage.h"

namespace Cardamomhill
{

void ObjectPage::addChanged(PlatformObject object)
{
    std::erase(removed, object.key.name);
    std::erase_if(objects, [&](const PlatformObject &earlier) { return earlier.key.name == object.key.name; });
    objects.push_back(std::move(object));
}

void ObjectPage::addRemoved(std::string name)
{
    std::erase(removed, name);
    std::erase_if(objects, [&](const PlatformObject &earlier) { return earlier.key.name == name; });
    removed.push_back(std::move(name));
}

} // namespace Cardamomhill
