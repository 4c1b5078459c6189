#pragma once

#include <string_view>

namespace almondnotch {

/// Score of a member for a key by weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA
/// 2005): the member with the highest score owns the key, with a probability in proportion to its
/// weight; a change of one member moves only keys from or to that member.
double rendezvousScore(std::string_view key, std::string_view member, double weight = 1);

} // namespace almondnotch
