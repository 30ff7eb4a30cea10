/**
 * Exchanges crash records and limits of targets with the archives, which relay them to the other
 * entry VMs while the object API is slow, down or unreachable for some of them.
 */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  Deferred,
  type Fingerprint,
} from '@marigoldpost/common';
import type {TargetLimit, TargetLimits} from '@marigoldpost/dispatch';
import {
  ExchangeQuarantinesSchema,
  fromQuarantineMessage,
  fromTargetLimitMessage,
  type QuarantineChanges,
  toQuarantineMessage,
  toTargetLimitMessage,
} from '@marigoldpost/peers';
import type {Quarantine} from '@marigoldpost/targets';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ArchiveClient, ArchivePool} from '@marigoldpost/turns';
import type {QuarantineReceiver} from './quarantine_receiver.js';

/** Pause between two requests for the records of other entry VMs. */
const pollMs = 500;
/** Pause before the first request, until an archive is known. */
const initialPollMs = 50;
/** One crash fails many requests at a time; they are sent as one batch. */
const batchDelayMs = 30;
/** Time after which an entry VM serves although no archive has replied. */
const maxLoadMs = 2000;
/** Lower than the number of any change, also of entries of other entry VMs. */
const allEntries = -1;

/** Archives, quarantine and clock of an exchange. */
export interface QuarantineExchangeOptions {
  readonly pool: ArchivePool;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly receiver: QuarantineReceiver;
  readonly limits: TargetLimits;
  readonly logger: EventLogger;
  /** Whether the objects with the records of all entry VMs have been read. */
  readonly areObjectsLoaded: () => boolean;
}

/** Progress of the exchange with one archive. */
interface ExchangeState {
  /**
   * Last change of this entry VM that the archive has; `allEntries` if it needs
   * the entries of other entry VMs as well.
   */
  sentChange: number;
  /** Process of the archive, and its revision that this entry VM has. */
  process: string;
  revision: bigint;
  /** Last revision of the own limits that the archive has. */
  sentLimitRevision: number;
  /** Whether the archive may lack the leaving targets that others reported. */
  needsLeaving: boolean;
  /** Revision of the archive's limits that this entry VM has. */
  limitRevision: bigint;
}

/** Sends own records to every archive and asks one for those of others. */
export class QuarantineExchange {
  /** Number of the last own change of each request. */
  private readonly changes = new Map<Fingerprint, number>();
  private lastChange = 0;
  private readonly states = new WeakMap<ArchiveClient, ExchangeState>();
  private hasReply = false;
  private isLate = false;
  private wake = Deferred.create<void>();

  private constructor(private readonly options: QuarantineExchangeOptions) {}

  /**
   * Creates an exchange; `run` starts it.
   * @param options - Archives, quarantine and clock.
   */
  static create(options: QuarantineExchangeOptions): QuarantineExchange {
    return new QuarantineExchange(options);
  }

  /**
   * Whether an archive has sent its records, or none has replied for 2 s and the
   * objects have been read. Archives that start at the same time may not serve
   * yet.
   */
  get isLoaded(): boolean {
    return this.hasReply || (this.isLate && this.options.areObjectsLoaded());
  }

  /**
   * Sends the entry of a request to the archives soon.
   * @param fingerprint - Request whose entry this entry VM has changed.
   */
  publish(fingerprint: Fingerprint): void {
    this.lastChange += 1;
    this.changes.set(fingerprint, this.lastChange);
    this.wake.resolve();
  }

  /** Sends the limits that responses to this entry VM have changed soon. */
  publishLimits(): void {
    this.wake.resolve();
  }

  /**
   * Exchanges records until aborted.
   * @param signal - Stops the exchange.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, pool} = this.options;
    const startMs = clock.nowMs();
    while (!signal.aborted) {
      this.removeExpiredChanges();
      const hasReply = await this.exchangeWithArchives(pool.getClients());
      this.hasReply ||= hasReply;
      this.isLate ||= clock.nowMs() - startMs >= maxLoadMs;
      const pauseMs = this.isLoaded ? pollMs : initialPollMs;
      await this.waitForChange(pauseMs, signal);
      await clock.sleep(batchDelayMs, signal);
    }
  }

  /** Waits for a change or the end of a pause; leaves no timer or listener. */
  private async waitForChange(
    pauseMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const wake = () => this.wake.resolve();
    const timer = this.options.clock.setTimer(pauseMs, wake);
    signal.addEventListener('abort', wake, {once: true});
    try {
      signal.throwIfAborted();
      await this.wake.promise;
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', wake);
      this.wake = Deferred.create<void>();
    }
  }

  /** Exchanges records with the archives; false if none replies. */
  private async exchangeWithArchives(
    clients: readonly ArchiveClient[],
  ): Promise<boolean> {
    const {dataCentre} = this.options;
    const reachable = clients.filter(({isReachable}) => isReachable);
    const [nearest, ...others] = [
      ...reachable.filter((client) => client.dataCentre === dataCentre),
      ...reachable.filter((client) => client.dataCentre !== dataCentre),
    ];
    if (nearest === undefined) return false;
    const hasReplied = await Promise.all([
      this.exchange(nearest),
      ...others
        .filter((client) => this.hasUnsent(client))
        .map((client) => this.exchange(client)),
    ]);
    if (hasReplied.includes(true)) return true;
    for (const client of others) {
      if (await this.exchange(client)) return true;
    }
    return false;
  }

  private hasUnsent(client: ArchiveClient): boolean {
    const state = this.getState(client);
    const {ownRevision} = this.options.limits;
    return (
      state.needsLeaving ||
      state.sentChange < this.lastChange ||
      state.sentLimitRevision < ownRevision
    );
  }

  /** Exchanges records with an archive; false if it does not reply. */
  private async exchange(client: ArchiveClient): Promise<boolean> {
    const {quarantine, receiver, logger, clock, limits} = this.options;
    const state = this.getState(client);
    const {lastChange} = this;
    const entries = quarantine
      .getEntries()
      .filter(
        ({fingerprint}) =>
          (this.changes.get(fingerprint) ?? 0) > state.sentChange,
      );
    const startMs = clock.nowMs();
    const {ownRevision} = limits;
    const targetLimits = this.getUnsentLimits(state).map((limit) =>
      toTargetLimitMessage(limit, startMs),
    );
    const request = create(ExchangeQuarantinesSchema, {
      quarantines: entries.map(toQuarantineMessage),
      process: state.process,
      sinceRevision: state.revision,
      targetLimits,
      sinceLimitRevision: state.limitRevision,
    });
    const reply = await client.exchangeQuarantines(request);
    if (reply === undefined) return false;
    // A restarted archive has lost the limits and entries that it received
    // before, also those of entry VMs that no longer run.
    const isRestarted = state.process !== '' && state.process !== reply.process;
    state.sentChange = isRestarted ? allEntries : lastChange;
    state.sentLimitRevision = isRestarted ? 0 : ownRevision;
    state.needsLeaving = isRestarted;
    state.process = reply.process;
    state.revision = reply.revision;
    const {daemon} = client.member;
    this.receiveLimits(daemon, state, reply, startMs);
    receiver.receive(daemon, reply.quarantines.map(fromQuarantineMessage));
    if (entries.length === 0) return true;
    logger.log('crash_records_sent', {
      destination: daemon,
      requests: entries.length,
      delayMs: Math.round(clock.nowMs() - startMs),
    });
    return true;
  }

  private getUnsentLimits(state: ExchangeState): TargetLimit[] {
    const {limits} = this.options;
    const own = limits.getOwnChanges(state.sentLimitRevision);
    if (!state.needsLeaving) return own;
    // A limit that others reported may have ended since; leaving does not end.
    const leaving = limits
      .getChanges(0)
      .filter((limit) => limit.leavingSinceMs !== undefined)
      .filter((limit) => !own.includes(limit))
      .map((limit) => ({
        ...limit,
        limitPerS: undefined,
        statedAtMs: Number.NEGATIVE_INFINITY,
      }));
    return [...own, ...leaving];
  }

  private receiveLimits(
    source: DaemonId,
    state: ExchangeState,
    {limitRevision, targetLimits}: QuarantineChanges,
    sentAtMs: number,
  ): void {
    state.limitRevision = limitRevision;
    this.options.limits.merge(
      source,
      targetLimits.map((limit) => fromTargetLimitMessage(limit, sentAtMs)),
    );
  }

  private getState(client: ArchiveClient): ExchangeState {
    const existing = this.states.get(client);
    if (existing !== undefined) return existing;
    const added = {
      sentChange: 0,
      process: '',
      revision: 0n,
      sentLimitRevision: 0,
      needsLeaving: true,
      limitRevision: 0n,
    };
    this.states.set(client, added);
    return added;
  }

  private removeExpiredChanges(): void {
    if (this.changes.size === 0) return;
    const entries = this.options.quarantine.getEntries();
    const announced = new Set(entries.map(({fingerprint}) => fingerprint));
    for (const fingerprint of this.changes.keys()) {
      if (!announced.has(fingerprint)) this.changes.delete(fingerprint);
    }
  }
}
