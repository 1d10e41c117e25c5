package wigeonreel.codec

import arrow.core.Either
import com.google.protobuf.InvalidProtocolBufferException
import io.netty.util.NetUtil
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEntry
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipKind
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.place.Place
import wigeonreel.wire.Gossip
import wigeonreel.wire.ConfigDelta as WireDelta
import wigeonreel.wire.ConfigEntry as WireEntry
import wigeonreel.wire.Member as WireMember
import wigeonreel.wire.MemberState as WireState

/** Error for a gossip datagram that can't be decoded; [reason] names the invalid part. */
data class GossipError(
    val reason: String,
) {
    val message get() = "gossip datagram dropped: $reason; check that all daemons run the same version"
}

/** Encodes this message as the payload of one datagram. */
fun GossipMessage.encode(): ByteArray =
    Gossip
        .newBuilder()
        .setKindValue(kind.ordinal)
        .setSequence(sequence)
        .setSender(sender.toWire())
        .setTarget(target)
        .addAllUpdates(updates.map { it.toWire() })
        .setConfigVersion(proof.version)
        .setConfigProvenAtMs(proof.provenAtMs)
        .also { builder -> config?.let { builder.setConfig(it.toWire()) } }
        .also { builder -> storeEra?.let { builder.setStoreEra(it) } }
        .setDigest(digest)
        .addAllBucketDigests(bucketDigests)
        .build()
        .toByteArray()

/** Decodes the payload of one datagram; returns a [GossipError] for malformed bytes, an unknown kind or an invalid member. */
fun decodeGossip(bytes: ByteArray): Either<GossipError, GossipMessage> =
    Either
        .catchOrThrow<InvalidProtocolBufferException, Gossip> { Gossip.parseFrom(bytes) }
        .mapLeft { GossipError("malformed protobuf message") }
        .fold({ Either.Left(it) }, { it.toCore() })

/** Converts this configuration delta to its wire message. */
fun ConfigDelta.toWire(): WireDelta =
    WireDelta
        .newBuilder()
        .setFromVersion(fromVersion)
        .setToVersion(toVersion)
        .addAllEntries(entries.map { it.toWire() })
        .build()

/** Converts this wire message to a configuration delta. */
fun WireDelta.toCore(): ConfigDelta = ConfigDelta(fromVersion, toVersion, entriesList.map { it.toCore() })

private fun Gossip.toCore(): Either<GossipError, GossipMessage> {
    val kind = GossipKind.entries.getOrNull(kindValue) ?: return Either.Left(GossipError("unknown kind $kindValue"))
    val sender = sender.toCore() ?: return Either.Left(GossipError("invalid member"))
    val updates = updatesList.map { it.toCore() ?: return Either.Left(GossipError("invalid member")) }
    return Either.Right(
        GossipMessage(
            kind = kind,
            sequence = sequence,
            sender = sender,
            target = target,
            updates = updates,
            proof = ConfigProof(configVersion, configProvenAtMs),
            config = if (hasConfig()) config.toCore() else null,
            storeEra = if (hasStoreEra() && storeEra >= 0) storeEra else null,
            digest = digest,
            bucketDigests = bucketDigestsList,
        ),
    )
}

private fun Member.toWire(): WireMember =
    WireMember
        .newBuilder()
        .setId(id)
        .setIncarnation(incarnation)
        .setRevision(revision)
        .setStateValue(state.ordinal)
        .setHost(address.host)
        .setPeerPort(address.port)
        .setRegion(place.region)
        .setFailureDomain(place.failureDomain)
        .also { builder -> server?.let { builder.setService(it.service).setSlots(it.slots).setReady(it.ready) } }
        .build()

/** Highest start time that is plausible, in milliseconds since the epoch: the year 2200. */
private const val MAX_INCARNATION_MS = 7_258_118_400_000L
private const val MAX_PORT = 65_535

/** Returns null if a field has a value that no daemon announces; host names are refused, since to resolve one blocks the event loop. */
private fun WireMember.toCore(): Member? {
    if (state == WireState.UNRECOGNIZED) return null
    val addressValid = peerPort in 1..MAX_PORT && (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host))
    val countsValid = incarnation in 0..MAX_INCARNATION_MS && revision >= 0 && (service.isEmpty() || slots > 0)
    if (id.isEmpty() || !addressValid || !countsValid) return null
    val server = if (service.isEmpty()) null else ServerInfo(service, slots, ready)
    val state = MemberState.entries[stateValue]
    return Member(id, incarnation, revision, state, PeerAddress(host, peerPort), Place(region, failureDomain), server)
}

private fun ConfigEntry.toWire(): WireEntry =
    WireEntry
        .newBuilder()
        .setName(name)
        .setValue(value.orEmpty())
        .setVersion(version)
        .setRemoved(value == null)
        .build()

private fun WireEntry.toCore() = ConfigEntry(name, if (removed) null else value, version)
