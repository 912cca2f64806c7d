#ifndef CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
#define CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "documents/texthistory.h"
#include "registry/registryitem.h"

namespace citronpick::daemon
{

//! Encodes the registry content that a daemon holds as JSON text for another daemon, which has the
//! texts with the digests \a known. Decoding returns InvalidArgument for malformed text, or if it
//! needs a text that \a texts does not have.
std::string encodeListing(const registry::PeerListing &listing, documents::TextHistory &texts,
                          const documents::KnownTexts &known);
absl::StatusOr<registry::PeerListing> decodeListing(std::string_view text,
                                                    const documents::TextHistory &texts);

//! The same for changes that a daemon passes on. An item without a value is a removal.
std::string encodePeerChanges(const registry::PeerChanges &changes, documents::TextHistory &texts,
                              const documents::KnownTexts &known);
absl::StatusOr<registry::PeerChanges> decodePeerChanges(std::string_view text,
                                                        const documents::TextHistory &texts);

} // namespace citronpick::daemon

#endif // CITRONPICK_DAEMON_INTERNAL_LISTINGCODEC_H
