/** Reads the chain of turns that a new turn continues. */
import {
  type Clock,
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
import type {ArchiveClient, ChainPart, ChainUse} from './archive_client.js';
import type {ArchivePool} from './archive_pool.js';
import type {ArchiveRetries, ArchiveWait} from './archive_retries.js';
import type {TurnCache} from './turn_cache.js';

/**
 * Time that a turn which only the object API has takes to reach an archive, which
 * then retains the chain; a restart of all archives, or an outage of the object
 * API, lies within it.
 */
const importMs = 30_000;
/**
 * Time for which a chain is retained beyond its need, so that further turns that
 * continue it can be served from the cache.
 */
const reuseMs = 30_000;

/** Archives and cache that a reader uses. */
export interface ChainReaderOptions {
  readonly pool: ArchivePool;
  readonly clock: Clock;
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

/** How long the read of a chain may wait, and how long the chain is needed. */
export interface ChainWait extends ArchiveWait {
  /**
   * Time until a turn that continues the chain has been stored, from when on that
   * turn retains it; omitted if none does.
   */
  readonly neededMs?: number;
}

/** What a chain is fetched for. */
interface ChainFetch extends ChainUse {
  readonly signal: AbortSignal;
  /** Whether it is the rest of a chain whose newest turn has been read. */
  readonly isAncestor: boolean;
  /** Time for which archives must retain it, whatever happens to one of them. */
  readonly neededMs: number;
}

interface FetchedChain {
  readonly chain: PartialChain;
  /** Whether archives retain the chain for the time that was asked for. */
  readonly isRetained: boolean;
  /**
   * Whether other archives might remove it before they learn that it is retained
   * for longer.
   */
  readonly isExpiring: boolean;
}

/** A chain, or why it could not be read. */
type ChainLookup =
  FetchedChain | {readonly problem: string; readonly isExpired: boolean};

/** A chain; or the archives that may have it, and whether others let it expire. */
type ArchiveLookup =
  | FetchedChain
  | {readonly unread: readonly DaemonId[]; readonly isExpired: boolean};

/**
 * Reads from the cache, then the own data centre, then all archives, then the
 * object API. Archives retain what they send for as long as it is needed: a turn
 * whose ancestors expire while it runs could be stored, but never continued. The
 * cache serves no turn that may expire meanwhile.
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
  async readChain(turn: TurnId, wait: ChainWait): Promise<TurnChain> {
    const {cache, clock, pool} = this.options;
    const retries = pool.createRetries(wait);
    const {signal, neededMs} = wait;
    const startMs = clock.nowMs();
    const storedInMs = neededMs === undefined ? 0 : neededMs + importMs;
    const retainedMs = neededMs === undefined ? 0 : storedInMs + reuseMs;
    const fetch = {
      signal,
      isAncestor: false,
      isContinued: neededMs !== undefined,
      retainedMs,
      neededMs: storedInMs,
    };
    const newest = await this.readNewest(
      turn,
      fetch,
      retries,
      startMs + storedInMs,
    );
    const newestFirst = newest.chain.turns.toReversed();
    let next = newest.chain.missing;
    while (next !== undefined) {
      // Archives retain the ancestors of a turn as long as the turn.
      const cached = cache.get(next)?.record;
      const {chain} =
        cached === undefined
          ? await this.fetchWithWait(
              next,
              {...fetch, isAncestor: true, isContinued: false},
              retries,
            )
          : toFetchedChain(cached);
      newestFirst.push(...chain.turns.toReversed());
      next = chain.missing;
    }
    const retainedUntilMs = newest.isRetained
      ? startMs + retainedMs
      : Number.NEGATIVE_INFINITY;
    for (const record of newestFirst) {
      cache.put(record, startMs, retainedUntilMs);
    }
    if (newest.isExpiring && retainedMs > 0) {
      this.retainEverywhere(newestFirst, retainedMs);
    }
    return newestFirst.toReversed();
  }

  /**
   * Has all archives retain a chain, as the one that was read may be lost, and its
   * ancestors may be on others, before they learn it from each other.
   */
  private retainEverywhere(
    chain: readonly TurnRecord[],
    retainedMs: number,
  ): void {
    const ids = chain.map(({id}) => id);
    const times = ids.map(() => retainedMs);
    for (const client of this.options.pool.getClients()) {
      // One that does not reply learns it from the others.
      client.findTurns(ids, times).catch(() => undefined);
    }
  }

  /**
   * Reads the turn that is continued, with ancestors. A cached one that may expire
   * too early serves only if no archive replies that has it or has let it expire,
   * and not after its retention: archives that are out of reach may have removed it.
   */
  private async readNewest(
    turn: TurnId,
    fetch: ChainFetch,
    retries: ArchiveRetries,
    neededUntilMs: number,
  ): Promise<FetchedChain> {
    const {cache, clock} = this.options;
    const cached = cache.get(turn);
    if (cached === undefined || cached.expiresAtMs < clock.nowMs()) {
      return this.fetchWithWait(turn, fetch, retries);
    }
    const {record, retainedUntilMs} = cached;
    if (retainedUntilMs >= neededUntilMs) {
      return {...toFetchedChain(record), isExpiring: false};
    }
    const lookup = await this.fetchChain(turn, fetch);
    if ('chain' in lookup) return lookup;
    if (lookup.isExpired) throw this.createUnavailableError(lookup.problem);
    return toFetchedChain(record);
  }

  /** Fetches a chain again each time an archive has returned. */
  private async fetchWithWait(
    turn: TurnId,
    fetch: ChainFetch,
    retries: ArchiveRetries,
  ): Promise<FetchedChain> {
    const {owedArchives} = this.options;
    for (;;) {
      const lookup = await this.fetchChain(turn, fetch);
      if ('chain' in lookup) return lookup;
      if (!(await retries.waitForReturn(owedArchives))) {
        throw this.createUnavailableError(lookup.problem);
      }
    }
  }

  /** Fetches a chain; throws `unknown_turn` if all have replied that they lack it. */
  private async fetchChain(
    turn: TurnId,
    fetch: ChainFetch,
  ): Promise<ChainLookup> {
    const {isAncestor, neededMs, signal} = fetch;
    const {pool, ownDataCentre, owedArchives} = this.options;
    const localClients = pool.getReachableClients(ownDataCentre);
    for (const client of localClients) {
      const chain = await tryFetchChain(client, turn, fetch);
      if (hasTurns(chain)) return toRetainedChain(chain, neededMs);
      signal.throwIfAborted();
    }
    const clients = pool.getClients();
    const atArchives = await fetchFromArchives(clients, turn, fetch);
    if ('chain' in atArchives) return atArchives;
    const {unread, isExpired} = atArchives;
    const record = isExpired ? 'absent' : await this.findInObjects(turn);
    if (typeof record === 'object') return toFetchedChain(record);
    if (unread.length > 0) {
      const problem = `turn "${turn}" not found, and archives ${unread.join(', ')} did not tell whether they have it`;
      return {problem, isExpired};
    }
    if (record === 'unknown') {
      const problem = `turn "${turn}" is on no archive, and the object API did not reply`;
      return {problem, isExpired};
    }
    // The turn that the call names is stored, so it must not be called unknown.
    if (isAncestor) {
      const problem = `turn "${turn}" is on no archive, but a stored turn continues it`;
      return {problem, isExpired};
    }
    if (
      clients.length >= owedArchives &&
      (await pool.areAllRegistered(clients))
    ) {
      // An archive may have imported it from an object that was removed since.
      const imported = await fetchFromArchives(clients, turn, fetch);
      if ('chain' in imported) return imported;
      if (imported.unread.length === 0) {
        const message = `no archive stores turn "${turn}"`;
        throw MarigoldpostError.create('unknown_turn', message);
      }
    }
    const problem = `turn "${turn}" is on none of ${clients.length} archives, and there may be others`;
    return {problem, isExpired};
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

/** A turn that was not read from an archive, which would retain it. */
function toFetchedChain(record: TurnRecord): FetchedChain {
  const chain = {turns: [record], missing: record.previous};
  return {chain, isRetained: false, isExpiring: true};
}

/** A turn that an archive retains from now on. */
function toRetainedChain(chain: ChainPart, neededMs: number): FetchedChain {
  const isExpiring = chain.remainingMs < neededMs;
  return {chain, isRetained: true, isExpiring};
}

/**
 * Gets the chain from an archive that holds the turn; else the archives that have
 * not replied that they lack it, or that it has expired.
 */
async function fetchFromArchives(
  clients: readonly ArchiveClient[],
  turn: TurnId,
  fetch: ChainFetch,
): Promise<ArchiveLookup> {
  const lookups = await Promise.all(
    clients.map((client) => lookUpTurn(client, turn)),
  );
  let isExpired = false;
  for (const [index, client] of clients.entries()) {
    if (lookups[index] !== 'held') continue;
    const chain = await tryFetchChain(client, turn, fetch);
    if (chain?.isExpired === true) {
      isExpired = true;
      lookups[index] = 'absent';
    } else if (hasTurns(chain)) {
      return toRetainedChain(chain, fetch.neededMs);
    }
  }
  const unread = clients
    .filter((_client, index) => lookups[index] !== 'absent')
    .map(({member}) => member.daemon);
  return {unread, isExpired};
}

function hasTurns(chain: ChainPart | undefined): chain is ChainPart {
  return chain !== undefined && chain.turns.length > 0;
}

/** Gets the chain, which is empty if the archive lacks it; `undefined` on failure. */
async function tryFetchChain(
  client: ArchiveClient,
  turn: TurnId,
  use: ChainUse,
): Promise<ChainPart | undefined> {
  try {
    return await client.fetchChain(turn, use);
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
