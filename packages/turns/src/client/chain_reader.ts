/** Finds the turns that a new turn continues. */
import {type DataCentreId, MarigoldpostError} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {
  PartialChain,
  TurnChain,
  TurnRecord,
} from '../records/turn_record.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import type {TurnCache} from './turn_cache.js';

/**
 * When callers are to come back after an archive was out of reach. Cuts last for
 * seconds; callers wait at most a third of their time, here of some 4 s.
 */
const cutOffRetryMs = 1200;
/** The same where this daemon reaches no archive: others may, at once. */
const elsewhereRetryMs = 50;

/**
 * Gets when a caller is to come back whose turn needs an archive out of reach.
 * @param pool - The archives.
 */
export function getUnavailableRetryMs(pool: ArchivePool): number {
  return pool.isAnyReachable ? cutOffRetryMs : elsewhereRetryMs;
}

/** Options of a reader. */
export interface ChainReaderOptions {
  readonly pool: ArchivePool;
  readonly cache: TurnCache;
  readonly ownDataCentre: DataCentreId;
}

/** Reader of chains: memory first, then the own data centre, then all. */
export class ChainReader {
  private constructor(private readonly options: ChainReaderOptions) {}

  /**
   * Creates a reader.
   * @param options - Where turns are looked for.
   */
  static create(options: ChainReaderOptions): ChainReader {
    return new ChainReader(options);
  }

  /**
   * Gets a turn and all turns before it. Throws `unknown_turn` when every
   * archive says that there is none, `archive_unavailable` when one that may
   * hold it does not answer.
   * @param turn - The turn.
   */
  async readChain(turn: TurnId): Promise<TurnChain> {
    const newestFirst: TurnRecord[] = [];
    let next: TurnId | undefined = turn;
    while (next !== undefined) {
      const cached = this.options.cache.get(next);
      const part: PartialChain =
        cached === undefined
          ? await this.fetchChain(next)
          : {turns: [cached], missing: cached.previous};
      newestFirst.push(...part.turns.toReversed());
      next = part.missing;
    }
    for (const record of newestFirst) this.options.cache.put(record);
    return newestFirst.toReversed();
  }

  private async fetchChain(turn: TurnId): Promise<PartialChain> {
    const {pool, ownDataCentre} = this.options;
    const near = pool.getReachableIn(ownDataCentre);
    for (const client of near) {
      const chain = await fetchFrom(client, turn);
      if (chain !== undefined) return chain;
    }
    const clients = pool.getClients();
    const finds = await Promise.all(
      clients.map((client) => findAt(client, turn)),
    );
    for (const [index, client] of clients.entries()) {
      if (finds[index] !== 'held') continue;
      const chain = await fetchFrom(client, turn);
      if (chain !== undefined) return chain;
    }
    if (clients.length > 0 && finds.every((find) => find === 'absent')) {
      const message = `no archive holds turn "${turn}"`;
      throw MarigoldpostError.create('unknown_turn', message);
    }
    throw MarigoldpostError.create(
      'archive_unavailable',
      `turn "${turn}" may be held by an archive that does not answer`,
      {retryAfterMs: getUnavailableRetryMs(pool)},
    );
  }
}

/** Gets the chain; nothing when the archive does not hold the turn or fails. */
async function fetchFrom(
  client: ArchiveClient,
  turn: TurnId,
): Promise<PartialChain | undefined> {
  try {
    const chain = await client.fetchChain(turn);
    return chain.turns.length === 0 ? undefined : chain;
  } catch {
    // Other archives are asked; the pool reports those that fall silent.
    return undefined;
  }
}

async function findAt(
  client: ArchiveClient,
  turn: TurnId,
): Promise<'held' | 'absent' | 'unknown'> {
  try {
    const {isHeld} = await client.findTurns([turn]);
    return isHeld[0] === true ? 'held' : 'absent';
  } catch {
    // An archive that does not answer may hold the turn.
    return 'unknown';
  }
}
