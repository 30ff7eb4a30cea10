/** Converts quarantine entries to messages and back. */
import {create} from '@bufbuild/protobuf';
import {type Fingerprint, type TargetId, toId} from '@marigoldpost/common';
import type {QuarantineEntry} from '@marigoldpost/targets';
import {
  type Quarantine,
  QuarantineSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/**
 * Converts an entry to a message.
 * @param entry - Entry of a daemon's quarantine.
 */
export function toQuarantineMessage(entry: QuarantineEntry): Quarantine {
  const {fingerprint, version, deaths, quarantinedDeaths} = entry;
  return create(QuarantineSchema, {
    fingerprint,
    version: BigInt(version),
    quarantinedDeaths,
    deaths: deaths.map((death) => ({...death})),
  });
}

/**
 * Converts a message to an entry.
 * @param message - Message of another daemon.
 */
export function fromQuarantineMessage(message: Quarantine): QuarantineEntry {
  const {fingerprint, version, deaths, quarantinedDeaths} = message;
  return {
    fingerprint: toId<Fingerprint>(fingerprint),
    version: Number(version),
    quarantinedDeaths,
    deaths: deaths.map((death) => ({
      target: toId<TargetId>(death.target),
      startedAtMs: death.startedAtMs,
      // Daemons of earlier versions do not number deaths.
      ordinal: Math.max(1, death.ordinal),
      atMs: death.atMs,
      isCleared: death.isCleared,
    })),
  };
}
