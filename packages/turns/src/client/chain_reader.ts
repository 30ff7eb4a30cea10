/** Reads the chain of turns that a new turn continues. */
import {
  type DaemonId,
  type DataCentreId,
  MarigoldpostError,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {
  PartialChain,
  TurnChain,
  TurnRecord,
} from '../records/turn_record.js';
import type {StoreProbe} from '../objects/store_probe.js';
import type {TurnObjectReader} from '../objects/turn_object_reader.js';
import type {ArchiveClient} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveRetries, ArchiveWait} from './archive_retries.js';
import type {TurnCache} from './turn_cache.js';

/** Archives and cache that a reader uses. */
export interface ChainReaderOptions {
  readonly pool: ArchivePool;
  readonly cache: TurnCache;
  readonly ownDataCentre: DataCentreId;
  /** Archives that the site must have; while fewer are registered, a turn may be elsewhere. */
  readonly owedArchives: number;
  /** Finds turns in the object API, which too few disks store. */
  readonly objects: Pick<TurnObjectReader, 'findTurn'>;
  readonly probe: StoreProbe;
  /** Gets the retry delay for a call that needs an unreachable archive. */
  readonly getRetryAfterMs: () => number;
}

/** A chain, or why it could not be read. */
type ChainLookup = {readonly chain: PartialChain} | {readonly problem: string};

/** A chain, or the archives that may have it. */
type ArchiveLookup =
  | {readonly chain: PartialChain}
  | {readonly chain?: undefined; readonly unread: readonly DaemonId[]};

/**
 * Reads from the cache, then the own data centre, then all archives, then the
 * object API.
 */
export class ChainReader {
  private constructor(private readonly options: ChainReaderOptions) {}

  /**
   * Creates a reader.
   * @param options - Archive pool, cache and own data centre.
   */
  static create(options: ChainReaderOptions): ChainReader {
    return new ChainReader(options);
  }

  /**
   * Gets a turn and all its ancestors, oldest first. Throws `unknown_turn` when
   * neither the object API nor any archive that it lists stores the turn; and
   * `archive_unavailable` when an archive that may have it does not reply, the
   * list of archives is behind or cannot be confirmed, or an ancestor of a stored
   * turn is missing. Waits for archives that have just become unreachable before.
   * @param turn - Newest turn of the chain.
   * @param wait - How long to wait; no further archive is asked once its signal is
   *   aborted.
   */
  async readChain(turn: TurnId, wait: ArchiveWait): Promise<TurnChain> {
    const retries = this.options.pool.createRetries(wait);
    const newestFirst: TurnRecord[] = [];
    let next: TurnId | undefined = turn;
    while (next !== undefined) {
      const cached = this.options.cache.get(next);
      const part: PartialChain =
        cached === undefined
          ? await this.fetchWithWait(
              next,
              newestFirst.length > 0,
              retries,
              wait.signal,
            )
          : {turns: [cached], missing: cached.previous};
      newestFirst.push(...part.turns.toReversed());
      next = part.missing;
    }
    for (const record of newestFirst) this.options.cache.put(record);
    return newestFirst.toReversed();
  }

  /** Fetches a chain again each time an archive has returned. */
  private async fetchWithWait(
    turn: TurnId,
    isAncestor: boolean,
    retries: ArchiveRetries,
    signal: AbortSignal,
  ): Promise<PartialChain> {
    const {owedArchives} = this.options;
    for (;;) {
      const lookup = await this.fetchChain(turn, isAncestor, signal);
      if ('chain' in lookup) return lookup.chain;
      if (!(await retries.waitForReturn(owedArchives))) {
        throw this.createUnavailableError(lookup.problem);
      }
    }
  }

  /** Fetches a chain; throws `unknown_turn` if all have replied that they lack it. */
  private async fetchChain(
    turn: TurnId,
    isAncestor: boolean,
    signal: AbortSignal,
  ): Promise<ChainLookup> {
    const {pool, ownDataCentre, owedArchives} = this.options;
    const localClients = pool.getReachableClients(ownDataCentre);
    for (const client of localClients) {
      const chain = await tryFetchChain(client, turn);
      if (chain !== undefined) return {chain};
      signal.throwIfAborted();
    }
    const clients = pool.getClients();
    const atArchives = await fetchFromArchives(clients, turn);
    if (atArchives.chain !== undefined) return atArchives;
    const record = await this.findInObjects(turn);
    if (typeof record === 'object') {
      return {chain: {turns: [record], missing: record.previous}};
    }
    const {unread} = atArchives;
    if (unread.length > 0) {
      const problem = `turn "${turn}" not found, and archives ${unread.join(', ')} did not tell whether they have it`;
      return {problem};
    }
    if (record === 'unknown') {
      const problem = `turn "${turn}" is on no archive, and the object API did not reply`;
      return {problem};
    }
    // The turn that the call names is stored, so it must not be called unknown.
    if (isAncestor) {
      const problem = `turn "${turn}" is on no archive, but a stored turn continues it`;
      return {problem};
    }
    if (
      clients.length >= owedArchives &&
      (await pool.areAllRegistered(clients))
    ) {
      // An archive may have imported it from an object that was removed since.
      const imported = await fetchFromArchives(clients, turn);
      if (imported.chain !== undefined) return imported;
      if (imported.unread.length === 0) {
        const message = `no archive stores turn "${turn}"`;
        throw MarigoldpostError.create('unknown_turn', message);
      }
    }
    const problem = `turn "${turn}" is on none of ${clients.length} archives, and there may be others`;
    return {problem};
  }

  /** Gets the turn that an object holds; `unknown` without the object API. */
  private async findInObjects(
    turn: TurnId,
  ): Promise<TurnRecord | 'absent' | 'unknown'> {
    const {objects, probe} = this.options;
    // Its reply time-out is shorter than that of a listing.
    if (!(await probe.check())) return 'unknown';
    try {
      return (await objects.findTurn(turn)) ?? 'absent';
    } catch {
      return 'unknown';
    }
  }

  private createUnavailableError(problem: string): MarigoldpostError {
    return MarigoldpostError.create('archive_unavailable', problem, {
      retryAfterMs: this.options.getRetryAfterMs(),
    });
  }
}

/**
 * Gets the chain from an archive that holds the turn; else the archives that have
 * not replied that they lack it.
 */
async function fetchFromArchives(
  clients: readonly ArchiveClient[],
  turn: TurnId,
): Promise<ArchiveLookup> {
  const lookups = await Promise.all(
    clients.map((client) => lookUpTurn(client, turn)),
  );
  for (const [index, client] of clients.entries()) {
    if (lookups[index] !== 'held') continue;
    const chain = await tryFetchChain(client, turn);
    if (chain !== undefined) return {chain};
  }
  const unread = clients
    .filter((_client, index) => lookups[index] !== 'absent')
    .map(({member}) => member.daemon);
  return {unread};
}

/** Gets the chain; `undefined` when the archive lacks the turn or fails. */
async function tryFetchChain(
  client: ArchiveClient,
  turn: TurnId,
): Promise<PartialChain | undefined> {
  try {
    const chain = await client.fetchChain(turn);
    return chain.turns.length === 0 ? undefined : chain;
  } catch {
    // The next archive is tried; the pool reports unreachable ones.
    return undefined;
  }
}

async function lookUpTurn(
  client: ArchiveClient,
  turn: TurnId,
): Promise<'held' | 'absent' | 'unknown'> {
  try {
    const {isHeld, disk} = await client.findTurns([turn]);
    if (isHeld[0] === true) return 'held';
    // Its disk is newer than the list of archives, which may lack others too.
    return disk === client.member.disk ? 'absent' : 'unknown';
  } catch {
    // An archive that does not reply may store the turn.
    return 'unknown';
  }
}
