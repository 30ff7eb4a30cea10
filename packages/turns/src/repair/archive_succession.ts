/** Takes the place of archives of the own data centre that do not return. */
import type {Clock, DataCentreId} from '@marigoldpost/common';
import type {Archive} from '../archive/archive.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {ArchivePool} from '../client/archive_pool.js';
import {
  type ArchiveMember,
  getVoteId,
  type VoteId,
} from '../directory/archive_directory.js';
import {getMajority} from '../ledger/reservation_quorum.js';
import type {ProgramEntries} from '../records/turn_codec.js';

/**
 * Time after which the place of an unreachable archive is taken: longer than a
 * restart, a freeze or a stalled disk, and shorter than the time after which a
 * replaced disk counts as caught up. A new archive probably replaces one that
 * has never replied to it, unless that restarts at the same moment.
 */
const absentMs = {known: 4000, replaced: 1200};
/** Pause between two attempts, each of which reads the ledgers of peers. */
const retryMs = 1000;

/** Change of the votes in a registration. */
export type VoteChange = Pick<ArchiveMember, 'voteTerm' | 'supersededVotes'>;

/** Archive, peers and registration of a succession. */
export interface ArchiveSuccessionOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Whether the ledger of the archive is complete, and it is not retired. */
  readonly isComplete: () => boolean;
  /** Whether the archive was superseded and has recovered its ledger since. */
  readonly canRejoin: () => boolean;
  /** Changes the registration of the archive. */
  readonly changeVotes: (change: VoteChange) => Promise<void>;
}

/**
 * Removes the votes of absent archives without a gap between the majorities
 * before and after: the archive that takes their place first stores the ledgers
 * of so many voters that each majority until then has one of them. Its
 * registration then names the votes, so that all VMs leave out the same ones. An
 * absent archive that returns gets a new vote once its ledger is recovered.
 */
export class ArchiveSuccession {
  private nextAttemptMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: ArchiveSuccessionOptions) {}

  /**
   * Creates a succession that has taken no place yet.
   * @param options - Archive, peers and registration.
   */
  static create(options: ArchiveSuccessionOptions): ArchiveSuccession {
    return new ArchiveSuccession(options);
  }

  /** Takes the place of absent archives, or rejoins after an absence. */
  async run(): Promise<void> {
    const {pool, clock, isComplete, canRejoin, changeVotes} = this.options;
    const own = pool.ownMember;
    const nowMs = clock.nowMs();
    if (own === undefined || nowMs < this.nextAttemptMs) return;
    if (pool.isOwnSuperseded) {
      if (!canRejoin()) return;
      this.nextAttemptMs = nowMs + retryMs;
      await changeVotes({voteTerm: (own.voteTerm ?? 0) + 1});
      return;
    }
    const absent = this.findAbsent();
    if (absent.length === 0 || !isComplete()) return;
    this.nextAttemptMs = nowMs + retryMs;
    if (!(await this.mergeLedgers())) return;
    const added = absent.map((client) => getVoteId(pool.getMember(client)));
    const supersededVotes = [...this.getCurrentVotes(own), ...added];
    await changeVotes({supersededVotes});
  }

  /** Finds voters of the own data centre that have been away for long. */
  private findAbsent(): ArchiveClient[] {
    const {pool, clock, dataCentre} = this.options;
    const nowMs = clock.nowMs();
    const isNew = pool.wasRegistered === false;
    return pool.getVoters().filter((client) => {
      const {unreachableAtMs = Infinity, repliedAtMs} = client;
      const isReplaced = isNew && repliedAtMs === Number.NEGATIVE_INFINITY;
      const limitMs = isReplaced ? absentMs.replaced : absentMs.known;
      return (
        client.dataCentre === dataCentre && nowMs - unreachableAtMs >= limitMs
      );
    });
  }

  /** Gets those of the superseded votes that are still registered. */
  private getCurrentVotes({supersededVotes = []}: ArchiveMember): VoteId[] {
    const {pool} = this.options;
    const registered = new Set(
      pool.getClients().map((client) => getVoteId(pool.getMember(client))),
    );
    return supersededVotes.filter((vote) => registered.has(vote));
  }

  /**
   * Stores what every majority until now has recorded; `false` if too few peers
   * with complete ledgers reply.
   */
  private async mergeLedgers(): Promise<boolean> {
    const {pool, archive} = this.options;
    const voters = pool.getVoters();
    const requiredCount = voters.length - getMajority(voters.length) + 1;
    const reachable = voters.filter(({isReachable}) => isReachable);
    if (reachable.length < requiredCount) return false;
    const replies = await Promise.allSettled(
      reachable.map(fetchCompleteLedger),
    );
    const ledgers = replies.flatMap((reply) =>
      reply.status === 'fulfilled' && reply.value !== undefined
        ? [reply.value]
        : [],
    );
    if (ledgers.length < requiredCount) return false;
    for (const ledger of ledgers) await archive.mergeLedgers(ledger);
    return true;
  }
}

/** Gets the ledger of a peer; `undefined` if it is not complete. */
async function fetchCompleteLedger(
  client: ArchiveClient,
): Promise<readonly ProgramEntries[] | undefined> {
  const ledger = await client.fetchLedgers();
  // Asked afterwards, so that a peer that has just lost its disk is left out.
  const {isComplete} = await client.findTurns([]);
  return isComplete ? ledger : undefined;
}
