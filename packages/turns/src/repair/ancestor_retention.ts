/** Retention of earlier turns of a chain that are on other disks only. */
import type {Clock} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {Archive} from '../archive/archive.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {DiskId} from '../log/disk_identity.js';

/**
 * Time before a replica's expiry at which the peer is asked to retain it for
 * longer; more than the time between two sweeps of an archive.
 */
export const renewalMs = 10_000;
/** Differences of expiry that are left alone. */
export const expirySlackMs = 1000;
/** Limit of the turns queried or sent in one message; bounds its size. */
export const maxBatchTurns = 64;

/**
 * Asks peers to retain the turns that are continued by one that is stored here,
 * if that was stored on other disks than they.
 */
export class AncestorRetention {
  /** Peer disks that were asked, each with the time until which it is settled. */
  private readonly retained = new Map<TurnId, Map<DiskId, number>>();

  private constructor(
    private readonly archive: Archive,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates an instance that has asked no peer.
   * @param archive - Archive whose turns continue others.
   * @param clock - Clock of the archive.
   */
  static create(archive: Archive, clock: Clock): AncestorRetention {
    return new AncestorRetention(archive, clock);
  }

  /**
   * Asks a peer to retain what is due; rejects if it does not reply.
   * @param client - Client of the peer.
   */
  async renew(client: ArchiveClient): Promise<void> {
    const {archive, clock, retained} = this;
    const needed = archive.getMissingAncestors();
    for (const id of retained.keys()) {
      if (!needed.has(id)) retained.delete(id);
    }
    const renewBeforeMs = clock.nowMs() + renewalMs;
    const due = [...needed].filter(([id, neededMs]) => {
      const untilMs = retained.get(id)?.get(client.disk) ?? 0;
      return untilMs < renewBeforeMs && untilMs < neededMs - expirySlackMs;
    });
    for (let start = 0; start < due.length; start += maxBatchTurns) {
      const batch = due.slice(start, start + maxBatchTurns);
      const nowMs = clock.nowMs();
      const {disk, isHeld} = await client.findTurns(
        batch.map(([id]) => id),
        batch.map(([, untilMs]) => Math.max(0, Math.ceil(untilMs - nowMs))),
      );
      for (const [index, [id, neededMs]] of batch.entries()) {
        // A peer that lacks the turn may get it later.
        const untilMs = isHeld[index] ? neededMs : nowMs + 2 * renewalMs;
        const disks = retained.get(id) ?? new Map<DiskId, number>();
        retained.set(id, disks.set(disk, untilMs));
      }
    }
  }
}
